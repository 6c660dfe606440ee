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

// one is a start of a task of one slot that runs for the given time.
func one(id model.RequestID, run time.Duration) endpoint.Start {
	payload := standin.Payload{RunMS: run.Milliseconds(), Output: "done "}
	return endpoint.Start{
		Attempt: model.AttemptID{Task: model.TaskID{Request: id}, Number: 1},
		Size:    model.Resources{1000, 1024, 0, 1, 1},
		Request: model.Request{ID: id, Team: "t", Spec: model.Spec{
			Size: model.Resources{1000, 1024, 0, 1, 1}, Payload: payload.Encode(),
		}},
	}
}

func (b *bench) sync(ctx context.Context, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	request.Shard = model.ShardID{Domain: "a"}
	request.Lease = lease
	request.Report = true
	return b.remoteEndpoint.Sync(ctx, b.info, request)
}

// adopted syncs the first epoch with the given starts.
func (b *bench) adopted(ctx context.Context, starts ...endpoint.Start) endpoint.SyncReply {
	reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Adopt: true, Starts: starts})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

func (b *bench) kinds(ctx context.Context) []standin.RecordKind {
	records, err := b.fleet.Records(ctx)
	Expect(err).NotTo(HaveOccurred())
	var kinds []standin.RecordKind
	for _, r := range records {
		kinds = append(kinds, r.Kind)
	}
	return kinds
}

var _ = Describe("Endpoint", func() {
	It("runs a task to its end and reports it until it is acknowledged", func(ctx SpecContext) {
		b := newBench()
		start := one("0-a-a", time.Second)
		reply := b.adopted(ctx, start)
		Expect(reply.Results).To(Equal([]endpoint.StartResult{{Attempt: start.Attempt, Started: true}}))
		Expect(reply.Running).To(HaveLen(1))
		Expect(reply.Running[0].Request).To(Equal(&start.Request))
		b.clock.Advance(time.Second)
		for range 2 {
			reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Running).To(BeEmpty())
			Expect(reply.Finished).To(HaveLen(1))
			Expect(reply.Finished[0].Outcome).To(Equal(model.Succeeded))
			Expect(reply.Finished[0].Output).To(Equal(standin.Output(start.Request.Spec.Payload, "0-a-a", 0)))
		}
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Acknowledged: []model.AttemptID{start.Attempt}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(BeEmpty())
	})

	It("starts an attempt once however often it is told to", func(ctx SpecContext) {
		b := newBench()
		start := one("0-a-a", time.Second)
		b.adopted(ctx, start, start)
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{start}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Results[0].Started).To(BeTrue())
		Expect(reply.Running).To(HaveLen(1))
	})

	It("fences lower epochs and wants higher ones to adopt it", func(ctx SpecContext) {
		b := newBench()
		b.adopted(ctx, one("0-a-a", time.Minute))
		_, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 2})
		Expect(err).To(MatchError(endpoint.ErrRejected))
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 2, Adopt: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(HaveLen(1))
		_, err = b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{one("0-b-a", time.Second)}})
		Expect(err).To(MatchError(endpoint.ErrFenced))
		Expect(b.kinds(ctx)).To(ContainElement(standin.Fenced))
	})

	It("stops a task whose lease lapses, at the end of the lease", func(ctx SpecContext) {
		b := newBench()
		b.adopted(ctx, one("0-a-a", time.Minute))
		b.clock.Advance(lease - time.Millisecond)
		_, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		b.clock.Advance(2 * lease)
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(1))
		Expect(reply.Finished[0].Outcome).To(Equal(model.Lapsed))
		Expect(reply.Finished[0].Elapsed).To(Equal(2*lease - time.Millisecond))
	})

	It("shortens no lease by a Sync without one", func(ctx SpecContext) {
		b := newBench()
		b.adopted(ctx, one("0-a-a", time.Minute))
		probe := endpoint.SyncRequest{Shard: model.ShardID{Domain: "a"}, Epoch: 1, Report: true}
		for range 2 {
			b.clock.Advance(lease / 4)
			reply, err := b.remoteEndpoint.Sync(ctx, b.info, probe)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Running).To(HaveLen(1))
		}
		b.clock.Advance(lease / 2)
		reply, err := b.remoteEndpoint.Sync(ctx, b.info, probe)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(BeEmpty())
	})

	It("renews nothing without a lease and rejects what was held up on its way", func(ctx SpecContext) {
		b := newBench()
		first := b.adopted(ctx, one("0-a-a", time.Minute))
		b.clock.Advance(lease - time.Millisecond)
		_, err := b.remoteEndpoint.Sync(ctx, b.info, endpoint.SyncRequest{Shard: model.ShardID{Domain: "a"}, Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		late := endpoint.SyncRequest{Epoch: 1, Stamp: first.Stamp, Fresh: time.Second, Starts: []endpoint.Start{one("0-b-a", time.Minute)}}
		_, err = b.sync(ctx, late)
		Expect(err).To(MatchError(endpoint.ErrRejected))
		b.clock.Advance(time.Millisecond)
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Report: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(BeEmpty())
		Expect(reply.Finished[0].Outcome).To(Equal(model.Lapsed))
	})

	It("refuses what does not fit and records it", func(ctx SpecContext) {
		b := newBench()
		reply := b.adopted(ctx, one("0-a-a", time.Minute), one("0-b-a", time.Minute), one("0-c-a", time.Minute))
		Expect(reply.Results[2].Started).To(BeFalse())
		Expect(reply.Results[2].Reason).To(Equal(standin.ReasonCapacity))
		Expect(reply.Running).To(HaveLen(2))
		Expect(b.kinds(ctx)).To(ContainElement(standin.Refused))
	})

	It("resumes a checkpointed task where it stopped", func(ctx SpecContext) {
		b := newBench()
		first := one("0-a-a", 2*time.Second)
		b.adopted(ctx, first)
		b.clock.Advance(1500 * time.Millisecond)
		second := first
		second.Attempt.Number = 2
		_, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Orders: []endpoint.Order{
			{Attempt: first.Attempt, Control: endpoint.Checkpoint},
		}})
		Expect(err).NotTo(HaveOccurred())
		_, err = b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{second}})
		Expect(err).NotTo(HaveOccurred())
		b.clock.Advance(500 * time.Millisecond)
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(2))
		Expect(reply.Finished[0].Outcome).To(Equal(model.Checkpointed))
		Expect(reply.Finished[1].Outcome).To(Equal(model.Succeeded))
	})

	It("slows a throttled task that uses more than its size", func(ctx SpecContext) {
		b := newBench()
		start := one("0-a-a", 0)
		start.Request.Spec.Payload = standin.Payload{
			RunMS: 2000, Usage: model.Resources{2000, 1024, 0, 1, 1},
		}.Encode()
		b.adopted(ctx, start)
		b.clock.Advance(time.Second)
		_, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Orders: []endpoint.Order{
			{Attempt: start.Attempt, Control: endpoint.Throttle},
		}})
		Expect(err).NotTo(HaveOccurred())
		b.clock.Advance(time.Second)
		reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Running).To(HaveLen(1))
		Expect(reply.Running[0].Usage[model.CPU]).To(Equal(int64(1000)))
		b.clock.Advance(time.Second)
		reply, err = b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Finished).To(HaveLen(1))
	})

	DescribeTable("fails as it is told to",
		func(ctx SpecContext, event standin.Event, want func(*bench, context.Context)) {
			b := newBench()
			b.adopted(ctx, one("0-a-a", time.Second))
			Expect(b.fleet.Do(ctx, event, "", "a1")).To(Succeed())
			want(b, ctx)
			Expect(b.fleet.Do(ctx, standin.Heal, "", "a1")).To(Succeed())
			reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{one("0-c-a", time.Second)}})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Results[0].Started).To(BeTrue())
		},
		Entry("failing all starts", standin.Fail, func(b *bench, ctx context.Context) {
			_, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{one("0-b-a", time.Minute)}})
			Expect(err).NotTo(HaveOccurred())
			b.clock.Advance(time.Second)
			reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Finished).To(HaveLen(2))
			Expect(reply.Finished[1].Outcome).To(Equal(model.Failed))
		}),
		Entry("giving no answer", standin.Freeze, unanswered),
		Entry("gone", standin.Crash, unanswered),
		Entry("leaving", standin.Leave, func(b *bench, ctx context.Context) {
			reply, err := b.sync(ctx, endpoint.SyncRequest{Epoch: 1, Starts: []endpoint.Start{one("0-b-a", time.Second)}})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Leaving).To(BeTrue())
			Expect(reply.Results[0].Reason).To(Equal(standin.ReasonLeaving))
			Expect(reply.Running).To(HaveLen(1))
		}),
	)
})

func unanswered(b *bench, ctx context.Context) {
	brief, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := b.sync(brief, endpoint.SyncRequest{Epoch: 1})
	Expect(err).To(MatchError(endpoint.ErrUnavailable))
}
