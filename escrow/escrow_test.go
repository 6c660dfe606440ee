package escrow_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamworks/hornbeam/escrow"
	"github.com/hornbeamworks/hornbeam/model"
)

// slots returns n slots with a core each.
func slots(n int64) model.Resources {
	return model.Resources{model.CPU: n * 1000, model.Slots: n}
}

// rounds runs n rounds in which every holder reports its standing, polls the
// ledger, applies its parts and starts tasks.
func (f *fixture) rounds(n int) {
	for range n {
		f.clock.Advance(escrow.PollPeriod)
		for _, h := range f.holders {
			f.reportStanding(h)
			f.pollEscrow(h, len(h.reports))
			for len(h.pendingParts) > 0 {
				h.applyNextPart()
			}
			f.startTasks(h, slots(1), 1000)
		}
	}
}

var _ = Describe("Escrow", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture(slots(24), 3) })

	It("gives a new team an equal part in every shard, in one write", func() {
		f.rounds(2)
		for _, shard := range f.shards {
			Expect(f.parts()[shard]).To(Equal(slots(8)))
			Expect(f.holder(shard).part).To(Equal(slots(8)))
		}
		Expect(f.table.commits).To(Equal(1))
	})

	It("moves the whole limit to the only shard that can use it", func() {
		f.rounds(2)
		f.holder(f.shards[1]).queued = slots(100)
		f.rounds(6)
		Expect(f.running[f.shards[1]]).To(Equal(slots(24)))
	})

	It("splits the limit evenly again as tasks end when a second shard can use it", func() {
		f.rounds(2)
		f.holder(f.shards[1]).queued = slots(100)
		f.rounds(6)
		f.holder(f.shards[0]).queued = slots(100)
		for range 30 {
			f.finishTask(f.shards[0], slots(1))
			f.finishTask(f.shards[1], slots(1))
			f.rounds(1)
		}
		Expect(f.running[f.shards[0]][model.Slots]).To(BeNumerically("~", 12, 1))
		Expect(f.running[f.shards[1]][model.Slots]).To(BeNumerically("~", 12, 1))
	})

	It("serves a shard with little demand when the others could use the whole limit", func() {
		f = newFixture(slots(96), 3)
		f.rounds(2)
		f.holder(f.shards[0]).queued = slots(1000)
		f.holder(f.shards[1]).queued = slots(1000)
		f.rounds(8)
		Expect(f.running[f.shards[0]].Add(f.running[f.shards[1]])).To(Equal(slots(96)))
		f.holder(f.shards[2]).queued = slots(2)
		for range 10 {
			f.finishTask(f.shards[0], slots(2))
			f.finishTask(f.shards[1], slots(2))
			f.rounds(1)
		}
		Expect(f.running[f.shards[2]]).To(Equal(slots(2)))
	})

	It("writes nothing while the load is steady", func() {
		for _, shard := range f.shards {
			f.holder(shard).queued = slots(100)
		}
		f.rounds(6)
		before := f.table.commits
		f.rounds(50)
		Expect(f.table.commits).To(Equal(before))
	})

	It("keeps the part of a partitioned shard", func() {
		f.rounds(2)
		partitioned := f.shards[2]
		f.holder(f.shards[0]).queued = slots(100)
		for range 6 {
			f.clock.Advance(escrow.PollPeriod)
			for _, shard := range f.shards[:2] {
				h := f.holder(shard)
				f.reportStanding(h)
				f.pollEscrow(h, len(h.reports))
				h.applyNextPart()
				f.startTasks(h, slots(1), 100)
			}
		}
		Expect(f.parts()[partitioned]).To(Equal(slots(8)))
		Expect(f.running[f.shards[0]]).To(Equal(slots(16)))
	})

	It("keeps using its parts while the table is unavailable", func() {
		f.rounds(2)
		f.table.unavailable = true
		f.holder(f.shards[0]).queued = slots(100)
		f.rounds(3)
		Expect(f.running[f.shards[0]]).To(Equal(slots(8)))
		f.table.unavailable = false
		f.rounds(6)
		Expect(f.running[f.shards[0]]).To(Equal(slots(24)))
	})

	It("keeps parts above a lowered limit for running tasks and lowers them as tasks end", func() {
		f.holder(f.shards[0]).queued = slots(24)
		f.rounds(6)
		f.limits = append(f.limits, slots(6))
		for _, h := range f.holders {
			f.updateConfig(h)
		}
		f.rounds(4)
		account := f.ledgerAccount()
		Expect(account.Parts()).To(Equal(slots(24)), "running tasks keep their part")
		for range 18 {
			f.finishTask(f.shards[0], slots(1))
			f.rounds(1)
		}
		account = f.ledgerAccount()
		Expect(account.Parts()).To(Equal(slots(6)))
	})

	It("releases the parts of a team that was removed", func() {
		f.rounds(2)
		f.limits = append(f.limits, model.Resources{})
		for _, h := range f.holders {
			f.updateConfig(h)
		}
		f.rounds(6)
		account := f.ledgerAccount()
		Expect(account.Parts().IsZero()).To(BeTrue())
	})

	It("uses no part whose write has an unknown outcome", func() {
		f.rounds(2)
		h := f.holder(f.shards[0])
		f.holder(f.shards[1]).queued = slots(100)
		f.rounds(1)
		poll := func() {
			f.clock.Advance(escrow.PollPeriod)
			f.reportStanding(h)
			f.pollEscrow(h, len(h.reports))
			h.applyNextPart()
		}
		poll()
		Expect(h.part.IsZero()).To(BeTrue())
		f.table.fault = delayWrite
		poll()
		Expect(f.table.delayed).To(HaveLen(1))
		h.queued = slots(100)
		f.table.fault = loseWrite
		poll()
		f.startTasks(h, slots(1), 100)
		f.table.deliverDelayed()
		_, violation := f.checkInvariants(slots(24))
		Expect(violation).To(BeEmpty())
	})

	It("keeps the sum of parts within the limit under lost, delayed, paused and concurrent writes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFixture(slots(rapid.Int64Range(0, 12).Draw(t, "limit")), 3)
			var sum model.Resources
			for range 120 {
				f.injectEvent(t)
				after, violation := f.checkInvariants(sum)
				if violation != "" {
					t.Fatal(violation)
				}
				sum = after
			}
		})
	})
})

// injectEvent runs one randomly drawn event.
func (f *fixture) injectEvent(t *rapid.T) {
	h := rapid.SampledFrom(f.holders).Draw(t, "holder")
	size := slots(1)
	events := []func(){
		func() { f.reportStanding(h) },
		func() { f.reportStanding(h); f.pollEscrow(h, 1); h.applyNextPart() },
		func() { f.pollEscrow(h, rapid.IntRange(0, 3).Draw(t, "reports")) },
		func() { h.applyNextPart() },
		func() { f.startTasks(h, size, rapid.IntRange(1, 5).Draw(t, "starts")) },
		func() { f.finishTask(h.shard, size) },
		func() { h.queued = slots(rapid.Int64Range(0, 15).Draw(t, "queued")) },
		func() { f.takeOver(h.shard) },
		func() { f.adopt(h.shard) },
		func() { f.limits = append(f.limits, slots(rapid.Int64Range(0, 12).Draw(t, "limit"))) },
		func() { f.updateConfig(h) },
		func() { f.table.deliverDelayed() },
		func() {
			f.table.fault = rapid.SampledFrom([]fault{loseReply, loseWrite, delayWrite}).Draw(t, "fault")
		},
		func() { f.table.unavailable = !f.table.unavailable },
	}
	f.clock.Advance(escrow.PollPeriod)
	rapid.SampledFrom(events).Draw(t, "event")()
}

var _ = Describe("fairParts", func() {
	It("never exceeds the limit, and satisfies every want before any shard gets more", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.Int64Range(0, 100).Draw(t, "limit")
			wants := rapid.SliceOfN(rapid.Int64Range(0, 60), 1, 6).Draw(t, "wants")
			inService := make([]bool, len(wants))
			for i := range inService {
				inService[i] = rapid.Bool().Draw(t, "in service")
			}
			parts := escrow.FairParts(limit, wants, inService)
			sum := int64(0)
			for i, part := range parts {
				sum += part
				if !inService[i] && part != 0 {
					t.Fatalf("shard %d is out of service and gets %d", i, part)
				}
				for j := range parts {
					if inService[i] && inService[j] && part < wants[i] && parts[j] > max(part, wants[j])+1 {
						t.Fatalf("parts %v for wants %v are not max-min fair", parts, wants)
					}
				}
			}
			if sum > limit {
				t.Fatalf("the sum of parts %v exceeds the limit %d", parts, limit)
			}
		})
	})
})
