package httpapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// waitTimeout bounds waits in tests; it is reached only on failure.
const waitTimeout = 30 * time.Second

// holder is an in-memory fake of the holders of all shards. Status calls to
// domain "b" fail.
type holder struct {
	// mu guards the other fields: handlers call from their own goroutines.
	mu         sync.Mutex
	requests   map[model.RequestID]peer.SubmitRequest
	answered   map[model.RequestID]chan struct{}
	done       map[model.RequestID]bool
	awaitCount int
	// submitError is returned by Submit instead of a reply.
	submitError error
}

func newHolder() *holder {
	return &holder{
		requests: map[model.RequestID]peer.SubmitRequest{},
		answered: map[model.RequestID]chan struct{}{},
		done:     map[model.RequestID]bool{},
	}
}

func (h *holder) Call(ctx context.Context, _, _ string, args, reply any) error {
	into := reply.(*peer.Reply)
	switch message := args.(type) {
	case peer.SubmitRequest:
		return h.submit(message, into)
	case peer.AwaitRequest:
		return h.await(ctx, message, into)
	case peer.CancelRequest:
		into.Answer = result.Answer(message.ID, result.Cancelled, "cancelled")
	case peer.ExplainRequest:
		into.Answer = result.Answer(message.ID, result.Pending, "")
		into.Explanation = &peer.Explanation{State: "queued", Position: 3, Reason: "as " + string(message.Team)}
	case peer.StatusRequest:
		into.Answer = model.Answer{Code: int(result.OK)}
		into.Status = &peer.ShardStatus{Shard: message.Shard, Teams: []peer.TeamStatus{{Team: "north"}, {Team: "south"}}}
		if message.Shard.Domain == "b" {
			return peerrpc.ErrNoReply
		}
	}
	return nil
}

func (h *holder) submit(message peer.SubmitRequest, into *peer.Reply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.submitError != nil {
		return h.submitError
	}
	if _, exists := h.requests[message.ID]; !exists {
		h.requests[message.ID] = message
		h.answered[message.ID] = make(chan struct{})
	}
	into.Answer = result.Answer(message.ID, result.Pending, "")
	return nil
}

func (h *holder) await(ctx context.Context, message peer.AwaitRequest, into *peer.Reply) error {
	h.mu.Lock()
	request, exists := h.requests[message.ID]
	answered := h.answered[message.ID]
	h.awaitCount++
	h.mu.Unlock()
	if !exists || request.Team != message.Team {
		into.Answer = result.Answer(message.ID, result.UnknownRequest, "unknown")
		return nil
	}
	timer := time.NewTimer(message.Wait)
	defer timer.Stop()
	select {
	case <-answered:
		into.Answer = model.Answer{ID: message.ID, Code: int(result.OK), Ran: model.DidRun, Parts: []model.Part{{Output: request.Spec.Payload}}}
	case <-timer.C:
		into.Answer = result.Answer(message.ID, result.Pending, "")
	case <-ctx.Done():
		return peerrpc.ErrNoReply
	}
	return nil
}

// answerAll answers every request submitted so far.
func (h *holder) answerAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, answered := range h.answered {
		if !h.done[id] {
			h.done[id] = true
			close(answered)
		}
	}
}

// awaitCalls returns the number of Await calls received so far.
func (h *holder) awaitCalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.awaitCount
}

func (h *holder) request(id model.RequestID) peer.SubmitRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.requests[id]
}

// requestIDs returns the ids of the submitted requests, in no order.
func (h *holder) requestIDs() []model.RequestID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []model.RequestID
	for id := range h.requests {
		ids = append(ids, id)
	}
	return ids
}

// failSubmits makes Submit calls return err.
func (h *holder) failSubmits(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submitError = err
}

// view reports itself as fresh unless stale is set.
type view struct {
	// stale is set by the test and read by the admission duty.
	stale atomic.Bool
}

func (*view) Current() *model.Config     { return nil }
func (v *view) Fresh(now time.Time) bool { return !v.stale.Load() }

// fixture is a gate that listens on loopback and forwards to a fake holder.
type fixture struct {
	url       string
	address   string
	holder    *holder
	view      *view
	admission *gate.Admission
	gate      *gate.Gate
	server    *httpserve.Server
}

// The secrets of the keys in testConfig.
const (
	northSecret    = "north-secret"
	southSecret    = "south-secret"
	operatorSecret = "operator-secret"
)

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testConfig(version model.ConfigVersion) *model.Config {
	return &model.Config{
		Version: version,
		Classes: []model.Class{
			{Name: "screen", Repeatable: true, Window: time.Minute},
			{Name: "public", Repeatable: true, Window: time.Minute, Open: true},
		},
		Teams: []model.Team{{Name: "north"}, {Name: "south"}},
		Keys: []model.Key{
			{ID: "k1", Team: "north", Role: model.Submitter, Hash: hash(northSecret)},
			{ID: "k2", Team: "south", Role: model.Submitter, Hash: hash(southSecret)},
			{ID: "k3", Role: model.Operator, Hash: hash(operatorSecret)},
		},
		Domains: []model.Domain{{Name: "a", Shards: 1}, {Name: "b", Shards: 1}},
	}
}

// newFixture starts a gate with the settings, the limits and configuration
// version 1.
func newFixture(settings gate.Settings, limits httpapi.Limits) *fixture {
	f := &fixture{holder: newHolder(), view: &view{}}
	system := clock.System{}
	router := routing.NewRouter(routing.DefaultSettings(), system, routing.Addresses{"a": {"pa"}, "b": {"pb"}})
	f.admission = gate.NewAdmission(settings, system, f.view)
	f.gate = gate.New(settings, system, f.admission, routing.NewCaller(router, f.holder, system), logging.Discard())
	f.server = httpserve.New(httpapi.Server(f.gate, limits), logging.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	f.url = "http://" + f.address
	group := duty.NewGroup(context.Background())
	group.Start(router, f.admission)
	group.Serve(func(context.Context) error {
		return f.server.Serve(f.server.Listen(listener, func(l net.Listener) net.Listener { return httpapi.Listen(l, limits) }))
	})
	Expect(f.admission.SetConfig(testConfig(1))).To(BeTrue())
	DeferCleanup(func() {
		_ = f.server.Close()
		f.admission.Stop()
		router.Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return f
}
