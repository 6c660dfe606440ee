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

// convergenceTime is sufficient for an update to reach all members of a small
// fleet.
const convergenceTime = 20 * time.Second

var _ = Describe("Membership", func() {
	It("lets every process discover all others from one seed", func() {
		f := newFleet(12)
		f.advance(convergenceTime)
		for _, m := range f.members {
			Expect(m.Directory().Members()).To(HaveLen(12))
			Expect(m.Directory().Candidates("b")).To(HaveLen(4))
		}
	})

	It("sends the whole fleet to a joining process in one reply", func() {
		f := newFleet(40)
		f.advance(2 * convergenceTime)
		f.add("new", "10.0.1.1:1")
		f.members[40].Step(caller{fleet: f, from: "10.0.1.1:1"})
		Expect(f.members[40].Directory().Members()).To(HaveLen(41))
	})

	It("returns the holder of a shard with the highest epoch", func() {
		f := newFleet(6)
		shard := model.ShardID{Domain: "a"}
		f.members[0].Apply([]membership.Held{{Shard: shard, Epoch: 3}})
		f.members[3].Apply([]membership.Held{{Shard: shard, Epoch: 4}})
		f.advance(convergenceTime)
		for _, m := range f.members {
			holder, epoch, ok := m.Directory().Holder(shard)
			Expect(ok).To(BeTrue())
			Expect(holder.Member.Instance).To(Equal(model.InstanceID("i003")))
			Expect(epoch).To(Equal(model.Epoch(4)))
		}
	})

	It("suspects an unresponsive member before declaring it dead, and then returns it as holder of no shard", func() {
		f := newFleet(6)
		shard := model.ShardID{Domain: "c"}
		f.members[5].Apply([]membership.Held{{Shard: shard, Epoch: 1}})
		f.advance(convergenceTime)
		f.stopped["10.0.0.5:1"] = true
		for !f.converged("i005", membership.Suspect) {
			f.advance(membership.Tick)
			Expect(f.converged("i005", membership.Dead)).To(BeFalse())
		}
		f.advance(convergenceTime)
		Expect(f.converged("i005", membership.Dead)).To(BeTrue())
		_, _, ok := f.members[0].Directory().Holder(shard)
		Expect(ok).To(BeFalse())
	})

	It("keeps a member alive that only one other cannot reach", func() {
		f := newFleet(6)
		f.advance(convergenceTime)
		f.partitioned[[2]string{"10.0.0.1:1", "10.0.0.2:1"}] = true
		for range 200 {
			f.advance(membership.Tick)
			Expect(f.converged("i002", membership.Alive)).To(BeTrue())
		}
	})

	It("lets a member that was isolated refute the record that it is dead", func() {
		f := newFleet(6)
		f.advance(convergenceTime)
		f.stopped["10.0.0.4:1"] = true
		f.advance(convergenceTime)
		Expect(f.converged("i004", membership.Dead)).To(BeTrue())
		delete(f.stopped, "10.0.0.4:1")
		f.advance(convergenceTime)
		Expect(f.converged("i004", membership.Alive)).To(BeTrue())
	})

	It("rejoins the two sides of a healed partition that have declared each other dead", func() {
		f := newFleet(6)
		f.advance(convergenceTime)
		for i := range 3 {
			for j := 3; j < 6; j++ {
				f.partitioned[[2]string{f.addresses[i], f.addresses[j]}] = true
				f.partitioned[[2]string{f.addresses[j], f.addresses[i]}] = true
			}
		}
		f.advance(convergenceTime)
		Expect(f.state(0, "i005")).To(Equal(membership.Dead))
		Expect(f.state(5, "i000")).To(Equal(membership.Dead))
		clear(f.partitioned)
		f.advance(2 * convergenceTime)
		for i := range 6 {
			Expect(f.converged(fmt.Sprintf("i%03d", i), membership.Alive)).To(BeTrue())
		}
	})

	It("detects that another process responds at an address, and that a member leaves", func() {
		f := newFleet(6)
		f.advance(convergenceTime)
		f.add("new", "10.0.0.5:1")
		f.members[2].ApplyLeave()
		f.members[2].Step(caller{fleet: f, from: f.addresses[2]})
		f.stopped[f.addresses[2]] = true
		f.advance(convergenceTime)
		Expect(f.converged("new", membership.Alive)).To(BeTrue())
		for _, i := range []int{0, 1, 3, 4} {
			Expect(f.state(i, "i005")).To(Equal(membership.Left))
			Expect(f.state(i, "i002")).To(Equal(membership.Left))
		}
		Expect(f.state(6, "i005")).To(BeEmpty(), "the new process never had a record of it")
	})

	It("does not count its own pause towards the timeouts of other members", func() {
		f := newFleet(4)
		f.advance(convergenceTime)
		f.stopped["10.0.0.3:1"] = true
		for f.state(0, "i003") != membership.Suspect {
			f.advance(membership.Tick)
		}
		f.clock.Advance(time.Hour)
		f.members[0].Step(caller{fleet: f, from: "10.0.0.0:1"})
		Expect(f.state(0, "i003")).To(Equal(membership.Suspect))
	})
})

var _ = Describe("Merging", func() {
	It("does not depend on the order of the updates, and loses no refutation", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			updates := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "updates")
			first := membership.Record{Member: membership.Member{Instance: "x", Address: "x:1"}, State: membership.Alive}
			now := time.Unix(1, 0)
			inOrder := membership.NewRoster(membership.Member{Instance: "self"})
			reversed := membership.NewRoster(membership.Member{Instance: "self"})
			inOrder.Merge(now, first)
			reversed.Merge(now, first)
			inOrder.Merge(now, updates...)
			for i := len(updates) - 1; i >= 0; i-- {
				reversed.Merge(now, updates[i], updates[i])
			}
			a, _ := inOrder.Record(first.Member)
			b, _ := reversed.Record(first.Member)
			if a.State != b.State || a.Member.Revision != b.Member.Revision {
				t.Fatalf("%+v differs from %+v", a, b)
			}
		})
	})

	It("raises the own incarnation above that of a record that contradicts it", func() {
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

// BenchmarkMessages measures the messages and bytes that a process sends per
// second, without changes and while one process of the fleet changes its shards
// each second.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []int{6, 12, 24, 48, 96} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(size)
			f.advance(2 * time.Minute)
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

// measure reports the messages and bytes per process and second over one minute.
func (f *fleet) measure(b *testing.B, name string, change func(second int)) {
	const seconds = 60
	f.reset()
	for second := range seconds {
		change(second)
		f.advance(time.Second)
	}
	messages, bytes := 0, 0
	for _, address := range f.addresses {
		messages += f.messages[address]
		bytes += f.bytes[address].n
	}
	per := float64(seconds * len(f.addresses))
	b.ReportMetric(float64(messages)/per, name+"-msgs/s")
	b.ReportMetric(float64(bytes)/per, name+"-B/s")
}
