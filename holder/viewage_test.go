package holder

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// noClock is a table clock that has not been read.
type noClock struct{}

func (noClock) TableNow() (storage.TableTime, bool) { return 0, false }

// newDecidingHolder returns a test holder whose jobs were read at its present time and
// that applies reads of the jobs feed.
func newDecidingHolder(ctx context.Context) *Holder {
	h := newTestHolder(ctx, testEntry("e", 16))
	h.TableClock, h.cell.adviceQueue = noClock{}, newAdviceQueue()
	h.state = machine.MustState("deciding")
	h.cell.jobsReadAt = h.now
	return h
}

// UNASKED's cause, with another view: a holder without responses from its feed of the
// operators' rows started tasks in a failure domain that was being evacuated.
var _ = Describe("While the last read of the operators' rows is too old", func() {
	It("a recorded start waits, and is not sent after a read with an evacuation", func(ctx SpecContext) {
		entry := testEntry("e", 16)
		entry.Domain = "d"
		h := newTestHolder(ctx, entry)
		operatorsReadMessage{h.now}.apply(h)
		Expect(h.decideStarts("a", jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second})).To(HaveLen(1))
		h.advance(maxOperatorsAge + time.Millisecond)
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
		evacuatedMessage{domain: "d", out: true}.apply(h)
		operatorsReadMessage{h.now}.apply(h)
		h.sendRecordedStarts()
		Expect(h.sentStarts()).To(BeEmpty())
		Expect(h.cell.recorder.recordedStarts).To(BeEmpty())
	})

	It("a recorded start waits, and is sent after a read without an evacuation", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		operatorsReadMessage{h.now}.apply(h)
		Expect(h.decideStarts("a", jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second})).To(HaveLen(1))
		h.advance(maxOperatorsAge + time.Millisecond)
		recordedMessage{1}.apply(h)
		Expect(h.sentStarts()).To(BeEmpty())
		operatorsReadMessage{h.now}.apply(h)
		h.sendRecordedStarts()
		Expect(h.sentStarts()).To(HaveLen(1))
	})
})

// DRAIN: an endpoint that leaves could get starts for 2.7 s after the table had accepted that.
var _ = Describe("While the last read of the registry is too old", func() {
	step := jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second}
	read := func(h *Holder, changes ...storage.Change) {
		registryMessage{h.cell.epoch, feed.Update{RequestedAt: h.now, Changes: changes}}.apply(h)
	}

	It("nothing is decided, until the next read", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		read(h)
		h.advance(maxRegistryAge + time.Millisecond)
		h.readJobs(&jobs.Job{ID: "a", Team: "red", Queue: testQueue, Steps: []jobs.Step{step}, Accepted: 1})
		h.runDue()
		Expect(h.cell.planner.State("a")).To(Equal(jobs.Queued))
		read(h)
		h.runDue()
		Expect(h.cell.planner.State("a")).To(Equal(jobs.Running))
	})

	It("a recorded start waits, and is not sent to an endpoint that the next read shows to leave", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		read(h)
		Expect(h.decideStarts("a", step)).To(HaveLen(1))
		h.advance(maxRegistryAge + time.Millisecond)
		recordedMessage{1}.apply(h)
		h.runDue()
		Expect(h.sentStarts()).To(BeEmpty())
		leaving := testEntry("e", 16)
		leaving.Leaving = true
		h.applyEntry(leaving)
		read(h)
		h.runDue()
		Expect(h.sentStarts()).To(BeEmpty())
		Expect(h.cell.recorder.recordedStarts).To(BeEmpty())
	})
})

// readJobs applies a read of the jobs feed that was requested now.
func (h *Holder) readJobs(rows ...*jobs.Job) {
	update := feed.Update{RequestedAt: h.now, Version: 1}
	for _, job := range rows {
		row := storage.Row{Key: h.Parts.Key(JobsTable, job.ID), Value: storage.Encode(job), Version: 1}
		update.Changes = append(update.Changes, storage.Change{Row: row})
	}
	jobsMessage{h.cell.epoch, update}.apply(h)
}

// UNASKED: a holder without responses from its feed of the jobs started tasks of cancelled
// jobs.
var _ = Describe("While the last read of the jobs is too old", func() {
	step := jobs.Step{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second}
	job := func(cancelled bool) *jobs.Job {
		return &jobs.Job{ID: "a", Team: "red", Queue: testQueue, Steps: []jobs.Step{step}, Accepted: 1, Cancelled: cancelled}
	}

	It("nothing is decided, until the next read", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		h.readJobs(job(false))
		h.advance(maxJobsAge + time.Millisecond)
		h.runDue()
		Expect(h.cell.planner.State("a")).To(Equal(jobs.Queued))
		h.readJobs()
		h.runDue()
		Expect(h.cell.planner.State("a")).To(Equal(jobs.Running))
	})

	// The duty used its whole processor until the next read.
	It("the holder does not try to decide all the time", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		h.runDue()
		h.readJobs(job(false))
		h.advance(maxJobsAge + time.Millisecond)
		Expect(h.runDue()).To(Equal(decidePeriod))
	})

	It("a recorded start waits, and is sent after a read without a cancel", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		Expect(h.decideStarts("a", step)).To(HaveLen(1))
		h.advance(maxJobsAge + time.Millisecond)
		recordedMessage{1}.apply(h)
		h.runDue()
		Expect(h.sentStarts()).To(BeEmpty())
		h.readJobs()
		h.runDue()
		Expect(h.sentStarts()).To(HaveLen(1))
	})

	It("a recorded start waits, and is not sent after a read with a cancel", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		starts := h.decideStarts("a", step)
		Expect(starts).To(HaveLen(1))
		h.advance(maxJobsAge + time.Millisecond)
		recordedMessage{1}.apply(h)
		h.readJobs(job(true))
		h.runDue()
		Expect(h.sentStarts()).To(BeEmpty())
		Expect(h.cell.planner.StartPending(starts[0].Run)).To(BeFalse())
	})

	It("no start is sent for a response that has taken too long", func(ctx SpecContext) {
		h := newDecidingHolder(ctx)
		Expect(h.decideStarts("a", step)).To(HaveLen(1))
		late := feed.Update{RequestedAt: h.now, Version: 1}
		h.advance(maxJobsAge + time.Millisecond)
		jobsMessage{1, late}.apply(h)
		recordedMessage{1}.apply(h)
		h.runDue()
		Expect(h.sentStarts()).To(BeEmpty())
	})
})
