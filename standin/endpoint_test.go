package standin_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// newStart returns a start command for a task of one slot that runs for the
// given time.
func newStart(id model.RequestID, run time.Duration) endpoint.Start {
	payload := standin.Payload{RunMS: run.Milliseconds(), Output: "done "}
	return endpoint.Start{
		Attempt: model.AttemptID{Task: model.TaskID{Request: id}, Number: 1},
		Size:    model.Resources{1000, 1024, 0, 1, 1},
		Request: model.Request{ID: id, Team: "t", Spec: model.Spec{
			Size: model.Resources{1000, 1024, 0, 1, 1}, Payload: payload.Encode(),
		}},
	}
}

func (f *fixture) sync(ctx context.Context, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	request.Shard = model.ShardID{Domain: "a"}
	request.Lease = lease
	request.Report = true
	return f.remoteEndpoint.Sync(ctx, f.info, request)
}

// adopt adopts the endpoint under the first epoch with the given starts.
func (f *fixture) adopt(ctx context.Context, starts ...endpoint.Start) endpoint.SyncReply {
	reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Adopt: true, Starts: starts})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

func (f *fixture) recordKinds(ctx context.Context) []standin.RecordKind {
	records, err := f.fleet.Records(ctx)
	Expect(err).NotTo(HaveOccurred())
	var kinds []standin.RecordKind
	for _, r := range records {
		kinds = append(kinds, r.Kind)
	}
	return kinds
}

var _ = Describe("Endpoint", func() {
	It("runs a task to completion and reports its end until it is acknowledged", func(ctx SpecContext) {
		f := newFixture()
		start := newStart("0-a-a", time.Second)
		reply := f.adopt(ctx, start)
		Expect(reply.Results).To(Equal([]endpoint.StartResult{{Attempt: start.Attempt, Started: true}}))
		Expect(reply.Running).To(HaveLen(1))
		Expect(reply.Running[0].Request).To(Equal(&start.Request))
		f.clock.Advance(time.Second)
		for range 2 {
			reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Running).To(BeEmpty())
			Expect(reply.Finished).To(HaveLen(1))
			Expect(reply.Finished[0].Outcome).To(Equal(model.Succeeded))
			Expect(reply.Finished[0].Output).To(Equal(standin.Output(start.Request.Spec.Payload, "0-a-a", 0)))
		}
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Acknowledged: []model.AttemptID{start.Attempt}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(BeEmpty())
	})

	It("starts an attempt once when the start command is repeated", func(ctx SpecContext) {
		f := newFixture()
		start := newStart("0-a-a", time.Second)
		f.adopt(ctx, start, start)
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{start}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Results[0].Started).To(BeTrue())
		Expect(reply.Running).To(HaveLen(1))
	})

	It("fences lower epochs and rejects higher ones that do not adopt it", func(ctx SpecContext) {
		f := newFixture()
		f.adopt(ctx, newStart("0-a-a", time.Minute))
		_, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 2})
		Expect(err).To(MatchError(endpoint.ErrRejected))
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 2, Adopt: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(HaveLen(1))
		_, err = f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{newStart("0-b-a", time.Second)}})
		Expect(err).To(MatchError(endpoint.ErrFenced))
		Expect(f.recordKinds(ctx)).To(ContainElement(standin.Fenced))
	})

	It("ends a task at the time when its lease lapses", func(ctx SpecContext) {
		f := newFixture()
		f.adopt(ctx, newStart("0-a-a", time.Minute))
		f.clock.Advance(lease - time.Millisecond)
		_, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		f.clock.Advance(2 * lease)
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(1))
		Expect(reply.Finished[0].Outcome).To(Equal(model.Lapsed))
		Expect(reply.Finished[0].Elapsed).To(Equal(2*lease - time.Millisecond))
	})

	It("does not shorten a lease on a Sync without one", func(ctx SpecContext) {
		f := newFixture()
		f.adopt(ctx, newStart("0-a-a", time.Minute))
		probe := endpoint.SyncRequest{Shard: model.ShardID{Domain: "a"}, Epoch: 1, Report: true}
		for range 2 {
			f.clock.Advance(lease / 4)
			reply, err := f.remoteEndpoint.Sync(ctx, f.info, probe)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Running).To(HaveLen(1))
		}
		f.clock.Advance(lease / 2)
		reply, err := f.remoteEndpoint.Sync(ctx, f.info, probe)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(BeEmpty())
	})

	It("renews no lease on a Sync without one and rejects a delayed Sync", func(ctx SpecContext) {
		f := newFixture()
		first := f.adopt(ctx, newStart("0-a-a", time.Minute))
		f.clock.Advance(lease - time.Millisecond)
		_, err := f.remoteEndpoint.Sync(ctx, f.info, endpoint.SyncRequest{Shard: model.ShardID{Domain: "a"}, Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		delayed := endpoint.SyncRequest{Epoch: 1, Stamp: first.Stamp, Fresh: time.Second, Starts: []endpoint.Start{newStart("0-b-a", time.Minute)}}
		_, err = f.sync(ctx, delayed)
		Expect(err).To(MatchError(endpoint.ErrRejected))
		f.clock.Advance(time.Millisecond)
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Report: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(BeEmpty())
		Expect(reply.Finished[0].Outcome).To(Equal(model.Lapsed))
	})

	It("refuses starts beyond its capacity and records the refusal", func(ctx SpecContext) {
		f := newFixture()
		reply := f.adopt(ctx, newStart("0-a-a", time.Minute), newStart("0-b-a", time.Minute), newStart("0-c-a", time.Minute))
		Expect(reply.Results[2].Started).To(BeFalse())
		Expect(reply.Results[2].Reason).To(Equal(standin.ReasonCapacity))
		Expect(reply.Running).To(HaveLen(2))
		Expect(f.recordKinds(ctx)).To(ContainElement(standin.Refused))
	})

	It("resumes a checkpointed task from its saved progress", func(ctx SpecContext) {
		f := newFixture()
		first := newStart("0-a-a", 2*time.Second)
		f.adopt(ctx, first)
		f.clock.Advance(1500 * time.Millisecond)
		second := first
		second.Attempt.Number = 2
		_, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Orders: []endpoint.Order{
			{Attempt: first.Attempt, Control: endpoint.Checkpoint},
		}})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{second}})
		Expect(err).NotTo(HaveOccurred())
		f.clock.Advance(500 * time.Millisecond)
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(2))
		Expect(reply.Finished[0].Outcome).To(Equal(model.Checkpointed))
		Expect(reply.Finished[1].Outcome).To(Equal(model.Succeeded))
	})

	It("slows down a throttled task that uses more than its size", func(ctx SpecContext) {
		f := newFixture()
		start := newStart("0-a-a", 0)
		start.Request.Spec.Payload = standin.Payload{
			RunMS: 2000, Usage: model.Resources{2000, 1024, 0, 1, 1},
		}.Encode()
		f.adopt(ctx, start)
		f.clock.Advance(time.Second)
		_, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Orders: []endpoint.Order{
			{Attempt: start.Attempt, Control: endpoint.Throttle},
		}})
		Expect(err).NotTo(HaveOccurred())
		f.clock.Advance(time.Second)
		reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(HaveLen(1))
		Expect(reply.Running[0].Usage[model.CPU]).To(Equal(int64(1000)))
		f.clock.Advance(time.Second)
		reply, err = f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(1))
	})

	DescribeTable("simulates a fault until it is healed",
		func(ctx SpecContext, event standin.Event, check func(*fixture, context.Context)) {
			f := newFixture()
			f.adopt(ctx, newStart("0-a-a", time.Second))
			Expect(f.fleet.SendEvent(ctx, event, "", "a1")).To(Succeed())
			check(f, ctx)
			Expect(f.fleet.SendEvent(ctx, standin.Heal, "", "a1")).To(Succeed())
			reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{newStart("0-c-a", time.Second)}})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Results[0].Started).To(BeTrue())
		},
		Entry("failing all starts", standin.Fail, func(f *fixture, ctx context.Context) {
			_, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{newStart("0-b-a", time.Minute)}})
			Expect(err).NotTo(HaveOccurred())
			f.clock.Advance(time.Second)
			reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Finished).To(HaveLen(2))
			Expect(reply.Finished[1].Outcome).To(Equal(model.Failed))
		}),
		Entry("unresponsive", standin.Freeze, expectNoResponse),
		Entry("crashed", standin.Crash, expectNoResponse),
		Entry("leaving", standin.Leave, func(f *fixture, ctx context.Context) {
			reply, err := f.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{newStart("0-b-a", time.Second)}})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Leaving).To(BeTrue())
			Expect(reply.Results[0].Reason).To(Equal(standin.ReasonLeaving))
			Expect(reply.Running).To(HaveLen(1))
		}),
	)
})

func expectNoResponse(f *fixture, ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := f.sync(callCtx, endpoint.SyncRequest{Epoch: 1})
	Expect(err).To(MatchError(endpoint.ErrUnavailable))
}
