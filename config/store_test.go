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

// waitTimeout is reached only when a test fails.
const waitTimeout = 30 * time.Second

// sample returns a small valid configuration with the version.
func sample(version model.ConfigVersion) model.Config {
	return model.Config{
		Version: version,
		Classes: []model.Class{{Name: "screen", MaxWait: time.Second, Window: time.Minute, Shortage: model.Wait}},
		Teams:   []model.Team{{Name: "north", Share: 400, Limit: model.Resources{1000, 1000, 0, 10, 10}}},
		Domains: []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 1}},
	}
}

// start runs the store's duties until the test ends.
func start(store *config.Store) {
	group := duty.NewGroup(context.Background())
	group.Start(store.Duties()...)
	DeferCleanup(func() {
		for _, d := range store.Duties() {
			d.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
}

// overwrite writes a version into the table directly, without a Writer.
func overwrite(t *table, version model.ConfigVersion) {
	c := sample(version)
	writes, err := config.HeadWrites(&c)
	Expect(err).NotTo(HaveOccurred())
	Expect(t.Commit(context.Background(), storage.Txn{Writes: writes})).To(Succeed())
}

var _ = Describe("Store", func() {
	var (
		rows  *table
		now   *clock.Manual
		view  *config.View
		store *config.Store
	)

	BeforeEach(func() {
		rows = newTable()
		now = clock.NewManual(time.Unix(1000, 0))
		view = config.NewView()
		store = config.NewStore(view, rows, now)
	})

	It("has no configuration until the table or a peer provides one", func() {
		start(store)
		Expect(view.Current()).To(BeNil())
		Expect(view.Fresh(now.Now())).To(BeFalse())
		c := sample(7)
		Expect(store.Offer(&c)).To(BeTrue())
		Eventually(view.Version).WithTimeout(waitTimeout).Should(Equal(model.ConfigVersion(7)))
		Expect(view.Fresh(now.Now())).To(BeFalse(), "an offer is no confirmation")
	})

	It("reads the table and dates the confirmation to the start of the read", func() {
		Expect(config.Initialise(context.Background(), rows, sample(0))).To(Succeed())
		start(store)
		Eventually(view.Version).WithTimeout(waitTimeout).Should(Equal(model.ConfigVersion(1)))
		Expect(view.Confirmed()).To(Equal(now.Now()))
		now.Advance(config.MaxViewAge)
		Expect(view.Fresh(now.Now())).To(BeTrue())
		rows.set(func(t *table) { t.down = true })
		now.Advance(time.Nanosecond)
		Expect(view.Fresh(now.Now())).To(BeFalse())
	})

	It("catches up with one read after it missed ten versions", func() {
		Expect(config.Initialise(context.Background(), rows, sample(0))).To(Succeed())
		start(store)
		Eventually(view.Version).WithTimeout(waitTimeout).Should(Equal(model.ConfigVersion(1)))
		for version := model.ConfigVersion(2); version <= 11; version++ {
			overwrite(rows, version)
		}
		store.ReadNow()
		Eventually(view.Version).WithTimeout(waitTimeout).Should(Equal(model.ConfigVersion(11)))
	})

	It("ignores an older version from a peer, and a confirmation of a version it lacks", func() {
		old, current := sample(3), sample(5)
		start(store)
		Expect(store.Offer(&current)).To(BeTrue())
		Expect(store.Offer(&old)).To(BeTrue())
		Expect(store.Confirm(6, now.Now())).To(BeTrue())
		Expect(store.Confirm(5, now.Now().Add(-time.Second))).To(BeTrue())
		Eventually(view.Confirmed).WithTimeout(waitTimeout).Should(Equal(now.Now().Add(-time.Second)))
		Expect(view.Version()).To(Equal(model.ConfigVersion(5)))
	})

	It("retries delivery to a subscriber whose ring was full", func() {
		refused, got := false, make(chan *model.Config, 1)
		subscription := view.Subscribe(func(c *model.Config) bool {
			if !refused {
				refused = true
				return false
			}
			got <- c
			return true
		})
		start(store)
		c := sample(4)
		Expect(store.Offer(&c)).To(BeTrue())
		Eventually(got).WithTimeout(waitTimeout).Should(Receive(Equal(&c)))
		Expect(view.Applied()).To(BeZero(), "the subscriber has not applied the version yet")
		subscription.SetApplied(4)
		Expect(view.Applied()).To(Equal(model.ConfigVersion(4)))
	})
})

var _ = Describe("Initialise", func() {
	ctx := context.Background()

	It("creates version 1 and keeps it when called again", func() {
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

	It("succeeds after a lost response when the row was written", func() {
		rows := newTable()
		rows.set(func(t *table) { t.loseReply = 1 })
		Expect(config.Initialise(ctx, rows, sample(0))).To(Succeed())
	})

	It("fails while the table is unavailable", func() {
		rows := newTable()
		rows.set(func(t *table) { t.down = true })
		Expect(config.Initialise(ctx, rows, sample(0))).To(MatchError(storage.ErrUnavailable))
	})
})

var _ = DescribeTable("Check rejects", func(corrupt func(*model.Config), problem string) {
	c := sample(1)
	corrupt(&c)
	Expect(config.Check(&c)).To(MatchError(ContainSubstring(problem)))
},
	Entry("a wait of zero", func(c *model.Config) { c.Classes[0].MaxWait = 0 }, "the longest wait is 0s"),
	Entry("a short window", func(c *model.Config) { c.Classes[0].Window = 1 }, "the window of 1ns is shorter"),
	Entry("an unknown treatment", func(c *model.Config) { c.Classes[0].Shortage = "invalid" }, `no treatment "invalid"`),
	Entry("a sum of shares above 1000", func(c *model.Config) { c.Teams[0].Share = 1001 }, "add up to 1001 thousandths"),
	Entry("a negative limit", func(c *model.Config) { c.Teams[0].Limit[model.CPU] = -1 }, "a limit is -1"),
	Entry("a key of an unknown team", func(c *model.Config) {
		c.Keys = []model.Key{{ID: "k", Role: model.Submitter, Team: "west"}}
	}, `no team "west"`),
	Entry("a rack of an unknown domain", func(c *model.Config) {
		c.RacksOut = []model.RackRef{{Domain: "z", Rack: "r"}}
	}, `no failure domain "z"`),
)

var _ = Describe("Decode", func() {
	It("rejects input that is not an encoded configuration", func() {
		for _, raw := range []string{"", "{}", "[]", `{"version":"one"}`} {
			_, err := config.Decode([]byte(raw))
			Expect(err).To(MatchError(config.ErrMalformed))
		}
	})
})
