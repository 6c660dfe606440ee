package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// callTimeout bounds one call.
	callTimeout = 4 * time.Second
	// idleConnections is the number of connections kept to each gate.
	idleConnections = 64
)

// Crowd is a number of callers behind a balancer that picks any gate.
type Crowd struct {
	fronts []string
	client *http.Client
	group  *duty.Group
	// running counts the callers that have no answer yet.
	running sync.WaitGroup

	// mu guards the rest: every caller runs on its own.
	mu      sync.Mutex
	random  *rand.Rand
	records []audit.CallerRecord
	// calls counts what each call was told, answers the first answers and
	// reasons theirs.
	calls, answers map[result.Code]int
	reasons        map[string]int
	// cuts are the errors of connections that broke during a call.
	cuts []string
}

// NewCrowd returns a crowd in front of all gates of the cluster.
func (c *Cluster) NewCrowd() *Crowd {
	w := &Crowd{
		client: &http.Client{
			Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections},
		},
		group:   c.group,
		random:  rand.New(rand.NewPCG(Seed, Seed)),
		calls:   map[result.Code]int{},
		answers: map[result.Code]int{},
		reasons: map[string]int{},
	}
	for _, d := range c.Domains {
		w.fronts = append(w.fronts, d.fronts...)
	}
	return w
}

// Send starts one caller.
func (w *Crowd) Send(j Job) {
	w.running.Add(1)
	w.group.Serve(func(context.Context) error {
		defer w.running.Done()
		w.keep(w.serve(j))
		return nil
	})
}

// SendMany starts count callers, one each period.
func (w *Crowd) SendMany(count int, period time.Duration, job func(i int) Job) {
	for i := range count {
		w.Send(job(i))
		time.Sleep(period)
	}
}

// SendFor starts one caller each period for the given time.
func (w *Crowd) SendFor(span, period time.Duration, job func(i int) Job) {
	w.SendMany(int(span/period), period, job)
}

// Done waits for all callers and returns what they wrote down.
func (w *Crowd) Done() []audit.CallerRecord {
	w.running.Wait()
	ginkgo.GinkgoWriter.Println(w.Heard())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.records
}

// Count returns how many callers have an answer with the code so far.
func (w *Crowd) Count(code result.Code) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers[code]
}

// Heard returns what the calls so far were told, refusals of a call included.
func (w *Crowd) Heard() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("calls %v, answers %v for %v, %d cut off", w.calls, w.answers, w.reasons, len(w.cuts))
}

// CutOff returns the errors of connections that broke during a call. One that
// could not be opened cuts nothing off: a balancer picks another instance.
func (w *Crowd) CutOff() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts
}

func (w *Crowd) keep(record audit.CallerRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, record)
	if len(record.Answers) > 0 {
		w.answers[result.Code(record.Answers[0].Code)]++
		w.reasons[record.Answers[0].Reason]++
	}
}

// noteError keeps err when it cut off a call.
func (w *Crowd) noteError(err error) {
	var opening *net.OpError
	if errors.As(err, &opening) && opening.Op == "dial" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts = append(w.cuts, err.Error())
}

func (w *Crowd) noteCode(code int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[result.Code(code)]++
}

// front picks any gate.
func (w *Crowd) front() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fronts[w.random.IntN(len(w.fronts))]
}
