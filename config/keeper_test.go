package config_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// generous is reached only by a failure.
const generous = 30 * time.Second

// sample returns a small sound configuration with the version.
func sample(version model.ConfigVersion) model.Config {
	return model.Config{
		Version: version,
		Classes: []model.Class{{Name: "screen", MaxWait: time.Second, Window: time.Minute, Shortage: model.Wait}},
		Teams:   []model.Team{{Name: "north", Share: 400, Limit: model.Resources{1000, 1000, 0, 10, 10}}},
		Domains: []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 1}},
	}
}

// start runs the keeper's duties until the test ends.
func start(k *config.Keeper) {
	group := duty.NewGroup(context.Background())
	group.Start(k.Duties()...)
	DeferCleanup(func() {
		for _, d := range k.Duties() {
			d.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
}

// overwrite puts a version into the table without the usual change.
func overwrite(t *table, version model.ConfigVersion) {
	c := sample(version)
	writes, err := config.HeadWrites(&c)
	Expect(err).NotTo(HaveOccurred())
	Expect(t.Commit(context.Background(), storage.Txn{Writes: writes})).To(Succeed())
}

var _ = Describe("Keeper", func() {
	var (
		rows *table
		now  *clock.Manual
		view *config.View
		keep *config.Keeper
	)

	BeforeEach(func() {
		rows = newTable()
		now = clock.NewManual(time.Unix(1000, 0))
		view = config.NewView()
		keep = config.NewKeeper(view, rows, now)
	})

	It("has nothing until the table or a peer gives it something", func() {
		start(keep)
		Expect(view.Current()).To(BeNil())
		Expect(view.Fresh(now.Now())).To(BeFalse())
		c := sample(7)
		Expect(keep.Offer(&c)).To(BeTrue())
		Eventually(view.Version).WithTimeout(generous).Should(Equal(model.ConfigVersion(7)))
		Expect(view.Fresh(now.Now())).To(BeFalse(), "an offer alone confirms nothing")
	})

	It("reads the table and counts the confirmation from before the read", func() {
		Expect(config.Initialise(context.Background(), rows, sample(0))).To(Succeed())
		start(keep)
		Eventually(view.Version).WithTimeout(generous).Should(Equal(model.ConfigVersion(1)))
		Expect(view.Confirmed()).To(Equal(now.Now()))
		now.Advance(config.Promise)
		Expect(view.Fresh(now.Now())).To(BeTrue())
		rows.set(func(t *table) { t.down = true })
		now.Advance(time.Nanosecond)
		Expect(view.Fresh(now.Now())).To(BeFalse())
	})

	It("catches up at once after it slept through ten versions", func() {
		Expect(config.Initialise(context.Background(), rows, sample(0))).To(Succeed())
		start(keep)
		Eventually(view.Version).WithTimeout(generous).Should(Equal(model.ConfigVersion(1)))
		for version := model.ConfigVersion(2); version <= 11; version++ {
			overwrite(rows, version)
		}
		keep.ReadNow()
		Eventually(view.Version).WithTimeout(generous).Should(Equal(model.ConfigVersion(11)))
	})

	It("ignores an old version that a peer offers, and its confirmation", func() {
		old, current := sample(3), sample(5)
		start(keep)
		Expect(keep.Offer(&current)).To(BeTrue())
		Expect(keep.Offer(&old)).To(BeTrue())
		Expect(keep.Confirm(6, now.Now())).To(BeTrue())
		Expect(keep.Confirm(5, now.Now().Add(-time.Second))).To(BeTrue())
		Eventually(view.Confirmed).WithTimeout(generous).Should(Equal(now.Now().Add(-time.Second)))
		Expect(view.Version()).To(Equal(model.ConfigVersion(5)))
	})

	It("delivers again to a subscriber whose ring was full", func() {
		refused, got := false, make(chan *model.Config, 1)
		subscription := view.Subscribe(func(c *model.Config) bool {
			if !refused {
				refused = true
				return false
			}
			got <- c
			return true
		})
		start(keep)
		c := sample(4)
		Expect(keep.Offer(&c)).To(BeTrue())
		Eventually(got).WithTimeout(generous).Should(Receive(Equal(&c)))
		Expect(view.Applied()).To(BeZero(), "the subscriber does not act by it yet")
		subscription.Applied(4)
		Expect(view.Applied()).To(Equal(model.ConfigVersion(4)))
	})
})

var _ = Describe("Initialise", func() {
	ctx := context.Background()

	It("creates version 1 once", func() {
		rows := newTable()
		Expect(config.Initialise(ctx, rows, sample(0))).To(Succeed())
		other := sample(0)
		other.Teams[0].Share = 1
		Expect(config.Initialise(ctx, rows, other)).To(Succeed())
		head, err := config.ReadHead(ctx, rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Config.Version).To(Equal(model.ConfigVersion(1)))
		Expect(head.Config.Teams[0].Share).To(Equal(int64(400)))
	})

	It("settles a lost reply by a read", func() {
		rows := newTable()
		rows.set(func(t *table) { t.loseReply = 1 })
		Expect(config.Initialise(ctx, rows, sample(0))).To(Succeed())
	})

	It("reports a table that is down", func() {
		rows := newTable()
		rows.set(func(t *table) { t.down = true })
		Expect(config.Initialise(ctx, rows, sample(0))).To(MatchError(storage.ErrUnavailable))
	})
})

var _ = DescribeTable("Check rejects", func(spoil func(*model.Config), problem string) {
	c := sample(1)
	spoil(&c)
	Expect(config.Check(&c)).To(MatchError(ContainSubstring(problem)))
},
	Entry("a wait of zero", func(c *model.Config) { c.Classes[0].MaxWait = 0 }, "the longest wait is 0s"),
	Entry("a short window", func(c *model.Config) { c.Classes[0].Window = 1 }, "the window of 1ns is shorter"),
	Entry("an unknown treatment", func(c *model.Config) { c.Classes[0].Shortage = "hope" }, `no treatment "hope"`),
	Entry("shares above the whole", func(c *model.Config) { c.Teams[0].Share = 1001 }, "add up to 1001 thousandths"),
	Entry("a negative limit", func(c *model.Config) { c.Teams[0].Limit[model.CPU] = -1 }, "a limit is -1"),
	Entry("a key of no team", func(c *model.Config) {
		c.Keys = []model.Key{{ID: "k", Role: model.Submitter, Team: "west"}}
	}, `no team "west"`),
	Entry("a rack of no domain", func(c *model.Config) {
		c.RacksOut = []model.RackRef{{Domain: "z", Rack: "r"}}
	}, `no failure domain "z"`),
)

var _ = Describe("Decode", func() {
	It("rejects what is no configuration", func() {
		for _, raw := range []string{"", "{}", "[]", `{"version":"one"}`} {
			_, err := config.Decode([]byte(raw))
			Expect(err).To(MatchError(config.ErrMalformed))
		}
	})
})
