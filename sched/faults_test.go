package sched_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/storage"
)

// faultyLink injects faults between one process and the table and endpoints.
type faultyLink struct {
	table     storage.Table
	endpoints endpoint.Endpoint

	// mu guards the faults: tests set them while duties send.
	mu sync.Mutex
	// tablePartitioned and endpointsPartitioned make all calls fail.
	tablePartitioned     bool
	endpointsPartitioned bool
	// dropStarts loses Syncs with starts; loseReplies delivers them and loses
	// the replies.
	dropStarts  bool
	loseReplies bool
	// release, when set, delays Syncs with starts until it is closed.
	release chan struct{}
}

func (fx *fixture) newFaultyLink() *faultyLink {
	return &faultyLink{table: fx.table.Client(), endpoints: fx.fleet.Client()}
}

// set changes the faults.
func (l *faultyLink) set(change func(*faultyLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *faultyLink) Get(ctx context.Context, key string) (storage.Row, error) {
	if l.isTablePartitioned() {
		return storage.Row{}, storage.ErrUnavailable
	}
	return l.table.Get(ctx, key)
}

func (l *faultyLink) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if l.isTablePartitioned() {
		return nil, storage.ErrUnavailable
	}
	return l.table.List(ctx, prefix, after, limit)
}

func (l *faultyLink) Commit(ctx context.Context, txn storage.Txn) error {
	if l.isTablePartitioned() {
		return storage.ErrUnavailable
	}
	return l.table.Commit(ctx, txn)
}

func (l *faultyLink) isTablePartitioned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tablePartitioned
}

func (l *faultyLink) Sync(ctx context.Context, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	l.mu.Lock()
	partitioned, drop, lose, release := l.endpointsPartitioned, l.dropStarts, l.loseReplies, l.release
	l.mu.Unlock()
	starts := len(request.Starts) > 0
	if partitioned || (starts && drop) {
		return endpoint.SyncReply{}, endpoint.ErrUnavailable
	}
	if starts && release != nil {
		return l.delay(ctx, release, info, request)
	}
	reply, err := l.endpoints.Sync(ctx, info, request)
	if starts && lose {
		return endpoint.SyncReply{}, endpoint.ErrUnavailable
	}
	return reply, err
}

// delay returns no reply, and delivers the Sync once release is closed.
func (l *faultyLink) delay(ctx context.Context, release chan struct{}, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	go func() {
		<-release
		_, _ = l.endpoints.Sync(context.Background(), info, request)
	}()
	<-ctx.Done()
	return endpoint.SyncReply{}, endpoint.ErrUnavailable
}

// startOn runs a scheduler process that uses the faulty link.
func (fx *fixture) startOn(l *faultyLink) *scheduler { return fx.startWith(testSettings(), l, l) }

// callers has the submissions of callers and the answers that they received.
type callers struct{ records []audit.CallerRecord }

func (c *callers) record(r peer.SubmitRequest, answer model.Answer) {
	c.records = append(c.records, audit.CallerRecord{
		ID: r.ID, Team: r.Team, Key: r.Key, Spec: r.Spec, Accepted: true, Answers: []model.Answer{answer},
	})
}

// audit checks the endpoints' records and the callers' answers.
func (fx *fixture) audit(c *callers) {
	records, err := fx.fleet.Records(fx.ctx)
	Expect(err).NotTo(HaveOccurred())
	in := audit.Input{Records: records, Options: audit.DefaultOptions()}
	if len(records) > 0 {
		in.Configs = []audit.ConfigChange{{Time: records[0].Time.Add(-time.Hour), Config: fx.config.Load()}}
	}
	if c != nil {
		in.Callers = c.records
	}
	report := audit.Check(in)
	Expect(report.OK()).To(BeTrue(), "%+v", report)
}
