package front_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/front"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/view"
)

// scripted is a table that keeps rows and answers each write as told: an entry
// of the script decides whether the write takes effect and what its caller hears.
type scripted struct {
	storage.FeedTable
	mu     sync.Mutex
	rows   map[string][]byte
	script []step
	writes int
	gate   chan struct{}
}

type step struct {
	applied bool
	err     error
}

func (t *scripted) Get(_ context.Context, key string) (storage.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	value, found := t.rows[key]
	if !found {
		return storage.Row{}, storage.ErrNotFound
	}
	return storage.Row{Key: key, Value: value, Version: 1}, nil
}

func (t *scripted) Commit(_ context.Context, txn storage.Txn) error {
	<-t.gate
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	next := step{applied: true}
	if len(t.script) > 0 {
		next, t.script = t.script[0], t.script[1:]
	}
	for _, c := range txn.Checks {
		if _, found := t.rows[c.Key]; found && c.Version == 0 && next.err == nil {
			return storage.ErrConflict
		}
	}
	if next.applied {
		for _, w := range txn.Writes {
			t.rows[w.Key] = w.Value
		}
	}
	return next.err
}

// rowOf decodes the configuration of these tests.
type rowOf struct{}

func (rowOf) OperatorRow(storage.Row, bool) (view.Row, error) {
	c := &catalog.Catalog{
		Version: 1,
		Queues:  map[jobs.QueueName]*catalog.Queue{"q": {Name: "q", Host: "h", Prefix: "/q/", Timeout: 2 * time.Second}},
		Keys:    map[string]model.TeamName{"key": "red", "other": "blue"},
	}
	c.Index()
	return view.Row{Catalog: c}, nil
}

type nobody struct{}

func (nobody) SetCatalog(*catalog.Catalog)             {}
func (nobody) SetEvacuated(_ model.DomainName, _ bool) {}

// start starts a front at the table.
func start(t *scripted) *front.Front {
	t.rows = map[string][]byte{}
	if t.gate == nil {
		t.gate = make(chan struct{})
		close(t.gate)
	}
	v := view.New(rowOf{}, nobody{}, clock.Boot{}, logging.Discard())
	v.Update(feed.Update{Whole: true, Changes: []storage.Change{{}}, Asked: clock.Boot{}.Now()})
	ctx, cancel := context.WithCancel(context.Background())
	f := front.New(ctx, front.Options{Parts: 1, View: v, Table: t, Clock: clock.Boot{}, Wall: clock.System{}, Log: logging.Discard()})
	group := duty.NewGroup(ctx)
	group.Start(f.Duties()...)
	DeferCleanup(func() {
		cancel()
		for _, d := range f.Duties() {
			d.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return f
}

func submit(f *front.Front, id, key string) front.Answer {
	job := &jobs.Job{Spec: "x", Steps: []jobs.Step{{Count: 1}}}
	return f.Submit(context.Background(), front.Caller{Key: key, Host: "h", Path: "/q/" + id}, job)
}

var _ = Describe("A submission", func() {
	It("is accepted once, and a repetition is told so", func() {
		t := &scripted{}
		f := start(t)
		Expect(submit(f, "a", "key").Code).To(Equal(result.OK))
		Expect(submit(f, "a", "key").Code).To(Equal(result.OK))
		Expect(submit(f, "a", "other").Code).To(Equal(result.KeyReused))
	})

	It("is refused without a key or a queue", func() {
		f := start(&scripted{})
		Expect(submit(f, "a", "none").Code).To(Equal(result.BadKey))
		Expect(f.Submit(context.Background(), front.Caller{Key: "key", Host: "x", Path: "/q/a"}, &jobs.Job{}).Code).To(Equal(result.UnknownClass))
		Expect(f.Submit(context.Background(), front.Caller{Key: "key", Host: "h", Path: "/q/a"}, &jobs.Job{}).Code).To(Equal(result.Malformed))
	})

	It("is said not to run only when no write of it can have taken effect", func() {
		refused := &scripted{script: []step{{err: storage.ErrRefused}}}
		answer := submit(start(refused), "a", "key")
		Expect(answer.Code).To(Equal(result.StoreUnavailable))
		Expect(answer.RetryAfter).To(BeNumerically(">", 0))

		doubtful := &scripted{script: []step{{applied: true, err: storage.ErrUnavailable}, {err: storage.ErrRefused}}}
		Expect(submit(start(doubtful), "a", "key").Code).To(Equal(result.OutcomeUnknown))
	})

	It("is not said not to run when the write of its group took effect unheard", func() {
		t := &scripted{gate: make(chan struct{}), script: []step{
			{applied: true}, // the first job, alone
			{applied: true, err: storage.ErrUnavailable}, // the group, unheard
			{err: storage.ErrConflict},                   // the group again
			{err: storage.ErrRefused},                    // each job by itself
			{err: storage.ErrRefused},
		}}
		f := start(t)
		answers := make(chan front.Answer, 3)
		group := duty.NewGroup(context.Background())
		hand := func(id string) {
			group.Serve(func(context.Context) error {
				answers <- submit(f, id, "key")
				return nil
			})
		}
		hand("first")
		time.Sleep(100 * time.Millisecond)
		hand("a")
		hand("b")
		time.Sleep(100 * time.Millisecond)
		close(t.gate)
		Expect(group.Wait()).To(Succeed())
		codes := []result.Code{(<-answers).Code, (<-answers).Code, (<-answers).Code}
		Expect(codes).NotTo(ContainElement(result.StoreUnavailable))
		Expect(codes).To(ContainElement(result.OutcomeUnknown))
	})
})
