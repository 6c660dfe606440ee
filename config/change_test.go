package config_test

import (
	"context"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// north returns an edit that sets the share of team north.
func north(share int64) config.Edit {
	return config.SetTeam{Team: model.Team{Name: "north", Share: share, Limit: model.Resources{1000, 1000, 0, 10, 10}}}
}

var _ = Describe("Writer", func() {
	ctx := context.Background()
	var (
		rows     *table
		usage    config.Usage
		usageErr error
		writer   *config.Writer
	)

	BeforeEach(func() {
		rows, usage, usageErr = newTable(), config.Usage{}, nil
		Expect(config.Initialise(ctx, rows, sample(0))).To(Succeed())
		writer = config.NewWriter(config.WriterOptions{
			Table: rows, Clock: clock.System{}, Timeout: time.Second,
			Usage: func(context.Context) (config.Usage, error) { return usage, usageErr },
		})
		group := duty.NewGroup(ctx)
		group.Start(writer.Duties()...)
		DeferCleanup(func() {
			writer.Duties()[0].Stop()
			Expect(group.Wait()).To(Succeed())
		})
	})

	change := func(c config.Change) config.Outcome {
		GinkgoHelper()
		done := make(chan config.Outcome, 1)
		Expect(writer.Change(c, done)).To(BeTrue())
		var outcome config.Outcome
		Eventually(done).WithTimeout(waitTimeout).Should(Receive(&outcome))
		return outcome
	}
	head := func() *model.Config {
		GinkgoHelper()
		h, err := config.ReadHead(ctx, rows)
		Expect(err).NotTo(HaveOccurred())
		return h.Config
	}

	It("creates the next version and records the author in the audit log", func() {
		outcome := change(config.Change{ID: "c1", Author: "ops", Base: 1, Edit: north(300)})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Version).To(Equal(model.ConfigVersion(2)))
		Expect(head().Teams[0].Share).To(Equal(int64(300)))
		log, err := config.ReadAudit(ctx, rows, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(log).To(HaveLen(1))
		Expect(log[0].Author).To(Equal("ops"))
		Expect(log[0].Item).To(Equal("team north"))
	})

	It("reports a conflict with both edits to the second of two operators who edit one item", func() {
		Expect(change(config.Change{ID: "c1", Author: "ops-1", Base: 1, Edit: north(300)}).Code).To(Equal(result.OK))
		outcome := change(config.Change{ID: "c2", Author: "ops-2", Base: 1, Edit: north(200)})
		Expect(outcome.Code).To(Equal(result.ChangeConflict))
		Expect(outcome.Theirs).To(HaveLen(1))
		Expect(outcome.Theirs[0].Author).To(Equal("ops-1"))
		Expect(outcome.Reason).To(ContainSubstring("share=300"))
		Expect(outcome.Reason).To(ContainSubstring("share=200"))
		Expect(head().Teams[0].Share).To(Equal(int64(300)))
	})

	It("reports a conflict when another change is committed between read and commit", func() {
		rows.set(func(t *table) {
			t.beforeCommit = func() {
				defer GinkgoRecover()
				other := config.NewWriter(config.WriterOptions{Table: rows, Clock: clock.System{}})
				Expect(config.RunChange(other, config.Change{ID: "c1", Author: "ops-1", Base: 1, Edit: north(300)}).Code).To(Equal(result.OK))
			}
		})
		outcome := change(config.Change{ID: "c2", Author: "ops-2", Base: 1, Edit: north(200)})
		Expect(outcome.Code).To(Equal(result.ChangeConflict))
		Expect(head().Teams[0].Share).To(Equal(int64(300)))
	})

	It("applies both changes of operators who edit different items", func() {
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: north(300)}).Code).To(Equal(result.OK))
		Expect(change(config.Change{ID: "c2", Base: 1, Edit: config.ServeDomain{Name: "a", Out: true}}).Code).To(Equal(result.OK))
		Expect(head().Version).To(Equal(model.ConfigVersion(3)))
		Expect(head().Teams[0].Share).To(Equal(int64(300)))
		Expect(head().Domains[0].Out).To(BeTrue())
	})

	It("records when a failure domain is brought back, and keeps the time in later versions", func() {
		Expect(change(config.Change{ID: "out", Base: 1, Edit: config.ServeDomain{Name: "a", Out: true}}).Code).To(Equal(result.OK))
		Expect(head().Domains[0].BackAt).To(BeZero())
		Expect(change(config.Change{ID: "in", Base: 2, Edit: config.ServeDomain{Name: "a"}}).Code).To(Equal(result.OK))
		back := head().Domains[0].BackAt
		Expect(back).NotTo(BeZero())
		Expect(change(config.Change{ID: "later", Base: 3, Edit: north(300)}).Code).To(Equal(result.OK))
		Expect(head().Domains[0].BackAt).To(BeTemporally("==", back))
	})

	It("finds its commit in the audit log after a lost response, and applies the change once", func() {
		rows.set(func(t *table) { t.loseReply = 1 })
		outcome := change(config.Change{ID: "c1", Base: 1, Edit: north(300)})
		Expect(outcome.Code).To(Equal(result.OK))
		Expect(outcome.Version).To(Equal(model.ConfigVersion(2)))
		Expect(head().Version).To(Equal(model.ConfigVersion(2)))
	})

	It("retries a commit that did not reach the table", func() {
		rows.set(func(t *table) { t.loseCommit = 2 })
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: north(300)}).Code).To(Equal(result.OK))
		Expect(head().Version).To(Equal(model.ConfigVersion(2)))
	})

	It("applies a change once when it is repeated with the same id", func() {
		first := change(config.Change{ID: "c1", Base: 1, Edit: north(300)})
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: north(300)})).To(HaveField("Version", first.Version))
		Expect(head().Version).To(Equal(model.ConfigVersion(2)))
	})

	It("reports that nothing was changed while the table is unavailable", func() {
		rows.set(func(t *table) { t.down = true })
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: north(300)}).Code).To(Equal(result.StoreUnavailable))
	})

	It("reports an unknown outcome when the table becomes unavailable during the commit", func() {
		rows.set(func(t *table) { t.beforeCommit = func() { rows.set(func(t *table) { t.down = true }) } })
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: north(300)}).Code).To(Equal(result.ChangeUnconfirmed))
	})

	It("rejects a limit below the current usage, with both values, unless it is forced", func() {
		usage["north"] = model.Resources{model.Slots: 7}
		low := config.SetTeam{Team: model.Team{Name: "north", Share: 400, Limit: model.Resources{1000, 1000, 0, 5, 10}}}
		outcome := change(config.Change{ID: "c1", Base: 1, Edit: low})
		Expect(outcome.Code).To(Equal(result.ChangeRejected))
		Expect(outcome.Reason).To(ContainSubstring("limit of 5 slots is below the 7 that run"))
		Expect(change(config.Change{ID: "c2", Base: 1, Edit: low, Force: true}).Code).To(Equal(result.OK))
	})

	It("rejects a lower limit while the usage can't be read", func() {
		usageErr = errors.New("the ledger does not respond")
		low := config.SetTeam{Team: model.Team{Name: "north", Share: 400}}
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: low}).Reason).To(ContainSubstring("the ledger does not respond"))
	})

	DescribeTable("rejects a change that makes the configuration invalid", func(edit config.Edit, reason string) {
		outcome := change(config.Change{ID: "c1", Base: 1, Edit: edit})
		Expect(outcome.Code).To(Equal(result.ChangeRejected))
		Expect(outcome.Reason).To(ContainSubstring(reason))
		Expect(head().Version).To(Equal(model.ConfigVersion(1)))
	},
		Entry("unknown class", config.DropClass{Name: "absent"}, "there is no class absent"),
		Entry("unknown key", config.WithdrawKey{ID: "k"}, "there is no key k"),
		Entry("unknown domain", config.ServeDomain{Name: "z", Out: true}, "there is no failure domain z"),
		Entry("sum of shares above 1000", config.SetTeam{Team: model.Team{Name: "west", Share: 700}}, "1100 thousandths"),
		Entry("key of an unknown team", config.GrantKey{Key: model.Key{ID: "k", Role: model.Submitter, Team: "west"}}, `no team "west"`),
	)

	It("never writes a secret or a hash into the audit log", func() {
		secret, hash := config.NewSecret()
		grant := config.GrantKey{Key: model.Key{ID: "k", Role: model.Submitter, Team: "north", Hash: hash}}
		Expect(change(config.Change{ID: "c1", Base: 1, Edit: grant}).Code).To(Equal(result.OK))
		log, err := config.ReadAudit(ctx, rows, 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(log[0].String()).To(ContainSubstring("key k granted role=submitter team=north"))
		Expect(strings.Contains(log[0].String(), hash) || strings.Contains(log[0].String(), secret)).To(BeFalse())
		Expect(config.HashSecret(secret)).To(Equal(hash))
	})
})

var _ = DescribeTable("Service edits", func(edit config.Edit, check func(*model.Config) bool) {
	c := sample(1)
	Expect(edit.Apply(&c)).To(Succeed())
	Expect(check(&c)).To(BeTrue())
},
	Entry("rack taken out", config.ServeRack{Rack: model.RackRef{Domain: "a", Rack: "r1"}, Out: true},
		func(c *model.Config) bool { return len(c.RacksOut) == 1 }),
	Entry("rack brought back that is in service", config.ServeRack{Rack: model.RackRef{Domain: "a", Rack: "r1"}},
		func(c *model.Config) bool { return len(c.RacksOut) == 0 }),
	Entry("endpoint taken out", config.ServeEndpoint{ID: "e1", Out: true},
		func(c *model.Config) bool { return c.EndpointsOut[0] == "e1" }),
	Entry("domain brought back", config.ServeDomain{Name: "b"},
		func(c *model.Config) bool { return !c.Domains[1].Out }),
)
