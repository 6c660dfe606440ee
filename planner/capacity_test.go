package planner_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

// resize registers another capacity for the i-th endpoint.
func (f *fixture) resize(i int, capacity model.Resources) {
	entry := endpointInfo(i)
	entry.Capacity = capacity
	f.SetEndpoint(entry)
}

var _ = Describe("An endpoint whose capacity changes while it runs", func() {
	// The capacity of an entry with a number that no int64 represents depends on the
	// processor: it may be the smallest or the largest int64.
	It("gets no starts beyond what it had when its entry has the smallest int64", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		f.start(f.plan())
		f.resize(0, model.Resources{model.CPU: math.MinInt64, model.Memory: math.MinInt64})
		f.submit("b", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		Expect(f.plan().Starts).To(BeEmpty())

		f.resize(0, size(16000, 65536))
		Expect(f.plan().Starts).To(HaveLen(1))
	})

	It("gets starts again after its entry had the largest int64", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
		f.start(f.plan())
		f.resize(0, model.Resources{model.CPU: math.MaxInt64, model.Memory: math.MaxInt64})
		f.resize(0, size(16000, 65536))
		f.submit("b", batch, jobs.Step{Count: 4, Size: size(4000, 100), Estimate: time.Second})
		Expect(f.plan().Starts).To(HaveLen(3))
	})

	// preempting returns a cell whose first endpoint is full and has a reservation of
	// 8 cores for job b, which waits for the stop of a less urgent run. The second
	// endpoint, of 16 cores, has come later.
	preempting := func(step jobs.Step) (*fixture, planner.Start) {
		f := newFixture(1, 1)
		f.SetStopTime(400 * time.Millisecond)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(16000, 100), Checkpoints: true, Estimate: time.Minute})
		first := f.plan()
		f.start(first)
		f.tick(300 * time.Millisecond)
		f.submit("b", gangs, step)
		f.plan()
		f.tick(time.Second)
		Expect(f.plan().Stops).To(HaveLen(1))
		Expect(f.Stats().Reserved).To(Equal(step.Count))
		f.SetEndpoint(endpointInfo(1))
		f.list("e01")
		return f, first.Starts[0]
	}

	It("keeps no reservation that does not fit any more, so that its task starts elsewhere", func() {
		f, _ := preempting(jobs.Step{Count: 1, Size: size(8000, 100), Estimate: 2 * time.Second})
		Expect(f.plan().Starts).To(BeEmpty())
		f.resize(0, size(4000, 65536))
		starts := f.plan().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Endpoint).To(Equal(endpointID(1)))
		Expect(f.Stats().Reserved).To(BeZero())
	})

	It("keeps reservations that fit once the stops are done", func() {
		f, first := preempting(jobs.Step{Count: 1, Size: size(8000, 100), Estimate: 2 * time.Second})
		f.resize(0, size(8000, 65536))
		Expect(f.plan().Starts).To(BeEmpty())
		f.list("e00", ended(first.Run, fleet.Stopped))
		starts := f.plan().Starts
		Expect(starts).NotTo(BeEmpty())
		Expect(starts[0].Endpoint).To(Equal(endpointID(0)))
	})

	It("keeps the reservations of the most urgent tasks if only some of them fit", func() {
		f, first := preempting(jobs.Step{Count: 2, Size: size(6000, 100), Estimate: 2 * time.Second})
		f.resize(0, size(6000, 65536))
		starts := f.plan().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Endpoint).To(Equal(endpointID(1)))
		Expect(starts[0].Run.Task.Index).To(Equal(1))
		f.list("e00", ended(first.Run, fleet.Stopped))
		starts = f.plan().Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Endpoint).To(Equal(endpointID(0)))
	})

	It("keeps no reservation of a gang of which one member does not fit any more", func() {
		f, _ := preempting(jobs.Step{Count: 2, Gang: true, Size: size(8000, 100), Estimate: 2 * time.Second})
		f.resize(0, size(12000, 65536))
		starts := f.plan().Starts
		Expect(starts).To(HaveLen(2))
		Expect(starts[0].Endpoint).To(Equal(endpointID(1)))
		Expect(starts[1].Endpoint).To(Equal(endpointID(1)))
	})

	It("counts as over its capacity while its runs take more than that", func() {
		f := newFixture(1, 2)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(8000, 100), Estimate: time.Second})
		start := f.plan().Starts[0]
		f.StartConfirmed(start.Run)
		entry := endpointInfo(0)
		if start.Endpoint != entry.ID {
			entry = endpointInfo(1)
		}
		entry.Capacity = size(4000, 65536)
		f.SetEndpoint(entry)
		Expect(f.Stats().OverCapacity).To(Equal(1))
		Expect(f.Used(entry.ID)).To(Equal(size(8000, 100)))
		Expect(f.plan().Stops).To(BeEmpty(), "its runs are left to end")
		f.list(start.Endpoint, ended(start.Run, fleet.Succeeded))
		Expect(f.Stats().OverCapacity).To(BeZero())
	})

	It("does not count as over its capacity before its registry entry has been read", func() {
		previous := newFixture(1, 1)
		job := previous.submit("a", batch, single)
		previous.plan()
		f := newFixture(2, 0)
		f.AddJob(job, previous.progress("a"))
		Expect(f.Stats().OverCapacity).To(BeZero())
	})
})
