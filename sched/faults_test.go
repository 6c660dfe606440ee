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

// link is the way of one process to the outside, with faults.
type link struct {
	table storage.Table
	inner endpoint.Endpoint

	// mu guards the faults: tests set them while duties send.
	mu sync.Mutex
	// cutTable and cutEndpoints let nothing through.
	cutTable     bool
	cutEndpoints bool
	// dropStarts loses Syncs with starts on their way; loseReplies loses the
	// replies to them.
	dropStarts  bool
	loseReplies bool
	// late holds up Syncs with starts until it is closed.
	late chan struct{}
}

func (w *world) link() *link { return &link{table: w.table.Client(), inner: w.fleet.Client()} }

// set changes the faults.
func (l *link) set(change func(*link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *link) Get(ctx context.Context, key string) (storage.Row, error) {
	if l.tableIsCut() {
		return storage.Row{}, storage.ErrUnavailable
	}
	return l.table.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	if l.tableIsCut() {
		return nil, storage.ErrUnavailable
	}
	return l.table.List(ctx, prefix, after, limit)
}

func (l *link) Commit(ctx context.Context, txn storage.Txn) error {
	if l.tableIsCut() {
		return storage.ErrUnavailable
	}
	return l.table.Commit(ctx, txn)
}

func (l *link) tableIsCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cutTable
}

func (l *link) Sync(ctx context.Context, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	l.mu.Lock()
	cut, drop, lose, late := l.cutEndpoints, l.dropStarts, l.loseReplies, l.late
	l.mu.Unlock()
	starts := len(request.Starts) > 0
	if cut || (starts && drop) {
		return endpoint.SyncReply{}, endpoint.ErrUnavailable
	}
	if starts && late != nil {
		return l.holdUp(ctx, late, info, request)
	}
	reply, err := l.inner.Sync(ctx, info, request)
	if starts && lose {
		return endpoint.SyncReply{}, endpoint.ErrUnavailable
	}
	return reply, err
}

// holdUp gives no reply and delivers the Sync once late is closed.
func (l *link) holdUp(ctx context.Context, late chan struct{}, info model.EndpointInfo, request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	go func() {
		<-late
		_, _ = l.inner.Sync(context.Background(), info, request)
	}()
	<-ctx.Done()
	return endpoint.SyncReply{}, endpoint.ErrUnavailable
}

// startOn runs a scheduler process behind the link.
func (w *world) startOn(l *link) *member { return w.startWith(testSettings(), l, l) }

// callers are what callers sent and were told.
type callers struct{ records []audit.CallerRecord }

func (c *callers) note(r peer.SubmitRequest, answer model.Answer) {
	c.records = append(c.records, audit.CallerRecord{
		ID: r.ID, Team: r.Team, Key: r.Key, Spec: r.Spec, Accepted: true, Answers: []model.Answer{answer},
	})
}

// audit judges the endpoints' records and the callers' answers.
func (w *world) audit(c *callers) {
	records, err := w.fleet.Records(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	in := audit.Input{Records: records, Options: audit.DefaultOptions()}
	if len(records) > 0 {
		in.Configs = []audit.ConfigChange{{Time: records[0].Time.Add(-time.Hour), Config: w.config.Load()}}
	}
	if c != nil {
		in.Callers = c.records
	}
	report := audit.Check(in)
	Expect(report.OK()).To(BeTrue(), "%+v", report)
}
