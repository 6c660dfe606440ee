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

// rounds lets every holder report, decide and obey n times.
func (w *world) rounds(n int) {
	for range n {
		w.clock.Advance(escrow.Period)
		for _, h := range w.holders {
			w.report(h)
			w.step(h, len(h.reports))
			for len(h.orders) > 0 {
				h.obey()
			}
			w.start(h, slots(1), 1000)
		}
	}
}

var _ = Describe("Escrow", func() {
	var w *world

	BeforeEach(func() { w = newWorld(slots(24), 3) })

	It("gives a new team an equal part in every shard, in one write", func() {
		w.rounds(2)
		for _, shard := range w.shards {
			Expect(w.parts()[shard]).To(Equal(slots(8)))
			Expect(w.holder(shard).part).To(Equal(slots(8)))
		}
		Expect(w.table.commits).To(Equal(1))
	})

	It("moves the whole limit to the one shard that can use it", func() {
		w.rounds(2)
		w.holder(w.shards[1]).queued = slots(100)
		w.rounds(6)
		Expect(w.running[w.shards[1]]).To(Equal(slots(24)))
	})

	It("splits evenly again when a second shard can use it, as tasks end", func() {
		w.rounds(2)
		w.holder(w.shards[1]).queued = slots(100)
		w.rounds(6)
		w.holder(w.shards[0]).queued = slots(100)
		for range 30 {
			w.finish(w.shards[0], slots(1))
			w.finish(w.shards[1], slots(1))
			w.rounds(1)
		}
		Expect(w.running[w.shards[0]][model.Slots]).To(BeNumerically("~", 12, 1))
		Expect(w.running[w.shards[1]][model.Slots]).To(BeNumerically("~", 12, 1))
	})

	It("lets a shard with little demand in when the others could use everything", func() {
		w = newWorld(slots(96), 3)
		w.rounds(2)
		w.holder(w.shards[0]).queued = slots(1000)
		w.holder(w.shards[1]).queued = slots(1000)
		w.rounds(8)
		Expect(w.running[w.shards[0]].Add(w.running[w.shards[1]])).To(Equal(slots(96)))
		w.holder(w.shards[2]).queued = slots(2)
		for range 10 {
			w.finish(w.shards[0], slots(2))
			w.finish(w.shards[1], slots(2))
			w.rounds(1)
		}
		Expect(w.running[w.shards[2]]).To(Equal(slots(2)))
	})

	It("writes nothing while the load is steady", func() {
		for _, shard := range w.shards {
			w.holder(shard).queued = slots(100)
		}
		w.rounds(6)
		before := w.table.commits
		w.rounds(50)
		Expect(w.table.commits).To(Equal(before))
	})

	It("keeps the part of a shard that is cut off", func() {
		w.rounds(2)
		cut := w.shards[2]
		w.holder(w.shards[0]).queued = slots(100)
		for range 6 {
			w.clock.Advance(escrow.Period)
			for _, shard := range w.shards[:2] {
				h := w.holder(shard)
				w.report(h)
				w.step(h, len(h.reports))
				h.obey()
				w.start(h, slots(1), 100)
			}
		}
		Expect(w.parts()[cut]).To(Equal(slots(8)))
		Expect(w.running[w.shards[0]]).To(Equal(slots(16)))
	})

	It("goes on with its parts while the table is down", func() {
		w.rounds(2)
		w.table.down = true
		w.holder(w.shards[0]).queued = slots(100)
		w.rounds(3)
		Expect(w.running[w.shards[0]]).To(Equal(slots(8)))
		w.table.down = false
		w.rounds(6)
		Expect(w.running[w.shards[0]]).To(Equal(slots(24)))
	})

	It("says how much of a lowered limit is in force, and lowers it as tasks end", func() {
		w.holder(w.shards[0]).queued = slots(24)
		w.rounds(6)
		w.limits = append(w.limits, slots(6))
		for _, h := range w.holders {
			w.hear(h)
		}
		w.rounds(4)
		account := w.ledger()
		Expect(account.Parts()).To(Equal(slots(24)), "what runs is not halted")
		for range 18 {
			w.finish(w.shards[0], slots(1))
			w.rounds(1)
		}
		account = w.ledger()
		Expect(account.Parts()).To(Equal(slots(6)))
	})

	It("frees what a team that is gone held", func() {
		w.rounds(2)
		w.limits = append(w.limits, model.Resources{})
		for _, h := range w.holders {
			w.hear(h)
		}
		w.rounds(6)
		account := w.ledger()
		Expect(account.Parts().IsZero()).To(BeTrue())
	})

	It("uses no part whose write is still on its way", func() {
		w.rounds(2)
		h := w.holder(w.shards[0])
		w.holder(w.shards[1]).queued = slots(100)
		w.rounds(1)
		look := func() {
			w.clock.Advance(escrow.Period)
			w.report(h)
			w.step(h, len(h.reports))
			h.obey()
		}
		look()
		Expect(h.part.IsZero()).To(BeTrue())
		w.table.fault = holdBack
		look()
		Expect(w.table.held).To(HaveLen(1))
		h.queued = slots(100)
		w.table.fault = loseWrite
		look()
		w.start(h, slots(1), 100)
		w.table.arrive()
		_, wrong := w.check(slots(24))
		Expect(wrong).To(BeEmpty())
	})

	It("never lets the sum of parts pass the limit, whatever is lost, late, paused or raced", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(slots(rapid.Int64Range(0, 12).Draw(t, "limit")), 3)
			var sum model.Resources
			for range 120 {
				w.disturb(t)
				after, wrong := w.check(sum)
				if wrong != "" {
					t.Fatal(wrong)
				}
				sum = after
			}
		})
	})
})

// disturb lets one drawn thing happen.
func (w *world) disturb(t *rapid.T) {
	h := rapid.SampledFrom(w.holders).Draw(t, "holder")
	size := slots(1)
	events := []func(){
		func() { w.report(h) },
		func() { w.report(h); w.step(h, 1); h.obey() },
		func() { w.step(h, rapid.IntRange(0, 3).Draw(t, "reports")) },
		func() { h.obey() },
		func() { w.start(h, size, rapid.IntRange(1, 5).Draw(t, "starts")) },
		func() { w.finish(h.shard, size) },
		func() { h.queued = slots(rapid.Int64Range(0, 15).Draw(t, "queued")) },
		func() { w.takeOver(h.shard) },
		func() { w.adopt(h.shard) },
		func() { w.limits = append(w.limits, slots(rapid.Int64Range(0, 12).Draw(t, "limit"))) },
		func() { w.hear(h) },
		func() { w.table.arrive() },
		func() {
			w.table.fault = rapid.SampledFrom([]fault{loseReply, loseWrite, holdBack}).Draw(t, "fault")
		},
		func() { w.table.down = !w.table.down },
	}
	w.clock.Advance(escrow.Period)
	rapid.SampledFrom(events).Draw(t, "event")()
}

var _ = Describe("Fair", func() {
	It("splits the limit and passes it never, and gives each its want before any gets more", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.Int64Range(0, 100).Draw(t, "limit")
			wants := rapid.SliceOfN(rapid.Int64Range(0, 60), 1, 6).Draw(t, "wants")
			inService := make([]bool, len(wants))
			for i := range inService {
				inService[i] = rapid.Bool().Draw(t, "in service")
			}
			parts := escrow.Fair(limit, wants, inService)
			sum := int64(0)
			for i, part := range parts {
				sum += part
				if !inService[i] && part != 0 {
					t.Fatalf("shard %d is out and gets %d", i, part)
				}
				for j := range parts {
					if inService[i] && inService[j] && part < wants[i] && parts[j] > max(part, wants[j])+1 {
						t.Fatalf("%v for %v is not max-min fair", parts, wants)
					}
				}
			}
			if sum > limit {
				t.Fatalf("%v adds up to more than %d", parts, limit)
			}
		})
	})
})
