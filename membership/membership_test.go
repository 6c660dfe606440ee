package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
)

// settle is time enough for news to reach everyone in a small fleet.
const settle = 20 * time.Second

var _ = Describe("Membership", func() {
	It("makes all processes known to all from one seed", func() {
		f := newFleet(12)
		f.run(settle)
		for _, m := range f.members {
			Expect(m.Directory().Members()).To(HaveLen(12))
			Expect(m.Directory().Candidates("b")).To(HaveLen(4))
		}
	})

	It("tells a process that joins of the whole fleet in one reply", func() {
		f := newFleet(40)
		f.run(2 * settle)
		f.add("new", "10.0.1.1:1")
		f.members[40].Step(caller{fleet: f, from: "10.0.1.1:1"})
		Expect(f.members[40].Directory().Members()).To(HaveLen(41))
	})

	It("tells who holds a shard, by the highest epoch", func() {
		f := newFleet(6)
		shard := model.ShardID{Domain: "a"}
		f.members[0].Apply([]membership.Held{{Shard: shard, Epoch: 3}})
		f.members[3].Apply([]membership.Held{{Shard: shard, Epoch: 4}})
		f.run(settle)
		for _, m := range f.members {
			holder, epoch, ok := m.Directory().Holder(shard)
			Expect(ok).To(BeTrue())
			Expect(holder.Member.Instance).To(Equal(model.InstanceID("i003")))
			Expect(epoch).To(Equal(model.Epoch(4)))
		}
	})

	It("suspects a silent member before it is dead, and no shard has it as holder then", func() {
		f := newFleet(6)
		shard := model.ShardID{Domain: "c"}
		f.members[5].Apply([]membership.Held{{Shard: shard, Epoch: 1}})
		f.run(settle)
		f.dead["10.0.0.5:1"] = true
		for !f.agree("i005", membership.Suspect) {
			f.run(membership.Tick)
			Expect(f.agree("i005", membership.Dead)).To(BeFalse())
		}
		f.run(settle)
		Expect(f.agree("i005", membership.Dead)).To(BeTrue())
		_, _, ok := f.members[0].Directory().Holder(shard)
		Expect(ok).To(BeFalse())
	})

	It("keeps a member alive that one other cannot reach", func() {
		f := newFleet(6)
		f.run(settle)
		f.cut[[2]string{"10.0.0.1:1", "10.0.0.2:1"}] = true
		for range 200 {
			f.run(membership.Tick)
			Expect(f.agree("i002", membership.Alive)).To(BeTrue())
		}
	})

	It("lets a member that was cut off refute its death", func() {
		f := newFleet(6)
		f.run(settle)
		f.dead["10.0.0.4:1"] = true
		f.run(settle)
		Expect(f.agree("i004", membership.Dead)).To(BeTrue())
		delete(f.dead, "10.0.0.4:1")
		f.run(settle)
		Expect(f.agree("i004", membership.Alive)).To(BeTrue())
	})

	It("joins the two sides of a healed cut that have given each other up", func() {
		f := newFleet(6)
		f.run(settle)
		for i := range 3 {
			for j := 3; j < 6; j++ {
				f.cut[[2]string{f.names[i], f.names[j]}] = true
				f.cut[[2]string{f.names[j], f.names[i]}] = true
			}
		}
		f.run(settle)
		Expect(f.state(0, "i005")).To(Equal(membership.Dead))
		Expect(f.state(5, "i000")).To(Equal(membership.Dead))
		clear(f.cut)
		f.run(2 * settle)
		for i := range 6 {
			Expect(f.agree(fmt.Sprintf("i%03d", i), membership.Alive)).To(BeTrue())
		}
	})

	It("sees that another process answers at an address, and that one leaves", func() {
		f := newFleet(6)
		f.run(settle)
		f.add("new", "10.0.0.5:1")
		f.members[2].ApplyLeave()
		f.members[2].Step(caller{fleet: f, from: f.names[2]})
		f.dead[f.names[2]] = true
		f.run(settle)
		Expect(f.agree("new", membership.Alive)).To(BeTrue())
		for _, i := range []int{0, 1, 3, 4} {
			Expect(f.state(i, "i005")).To(Equal(membership.Left))
			Expect(f.state(i, "i002")).To(Equal(membership.Left))
		}
		Expect(f.state(6, "i005")).To(BeEmpty(), "the new process never knew it")
	})

	It("does not hold its own pause against others", func() {
		f := newFleet(4)
		f.run(settle)
		f.dead["10.0.0.3:1"] = true
		for f.state(0, "i003") != membership.Suspect {
			f.run(membership.Tick)
		}
		f.clock.Advance(time.Hour)
		f.members[0].Step(caller{fleet: f, from: "10.0.0.0:1"})
		Expect(f.state(0, "i003")).To(Equal(membership.Suspect))
	})
})

var _ = Describe("Merging", func() {
	It("does not depend on the order of the words, and loses no refutation", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			words := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "words")
			first := membership.Record{Member: membership.Member{Instance: "x", Address: "x:1"}, State: membership.Alive}
			now := time.Unix(1, 0)
			forth := membership.NewRoster(membership.Member{Instance: "self"})
			back := membership.NewRoster(membership.Member{Instance: "self"})
			forth.Merge(now, first)
			back.Merge(now, first)
			forth.Merge(now, words...)
			for i := len(words) - 1; i >= 0; i-- {
				back.Merge(now, words[i], words[i])
			}
			a, _ := forth.Record(first.Member)
			b, _ := back.Record(first.Member)
			if a.State != b.State || a.Member.Revision != b.Member.Revision {
				t.Fatalf("%+v differs from %+v", a, b)
			}
		})
	})

	It("raises the own incarnation above every word against the process", func() {
		r := membership.NewRoster(membership.Member{Instance: "self"})
		r.Merge(time.Unix(1, 0), membership.Record{Member: membership.Member{Instance: "self"}, Incarnation: 7, State: membership.Dead})
		Expect(r.Self().Incarnation).To(Equal(uint64(8)))
	})
})

func drawRecord(t *rapid.T) membership.Record {
	states := []membership.State{membership.Alive, membership.Suspect, membership.Dead}
	revision := rapid.Uint64Range(1, 4).Draw(t, "revision")
	return membership.Record{
		Member:      membership.Member{Instance: "x", Address: "x:1", Revision: revision},
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		State:       rapid.SampledFrom(states).Draw(t, "state"),
	}
}

// BenchmarkMessages measures what a process sends each second, at rest and
// while one process of the fleet changes its shards each second.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48, 96} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(size)
			f.run(2 * time.Minute)
			b.ResetTimer()
			for range b.N {
				f.measure(b, "rest", func(int) {})
				f.measure(b, "changes", func(second int) {
					f.members[second%size].Apply([]membership.Held{{Epoch: model.Epoch(second + 1)}})
				})
			}
		})
	}
}

// measure reports messages and bytes a process and second over one minute.
func (f *fleet) measure(b *testing.B, name string, change func(second int)) {
	const seconds = 60
	f.reset()
	for second := range seconds {
		change(second)
		f.run(time.Second)
	}
	calls, bytes := 0, 0
	for _, address := range f.names {
		calls += f.calls[address]
		bytes += f.bytes[address].n
	}
	per := float64(seconds * len(f.names))
	b.ReportMetric(float64(calls)/per, name+"-msgs/s")
	b.ReportMetric(float64(bytes)/per, name+"-B/s")
}
