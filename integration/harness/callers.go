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

// Callers runs concurrent callers that send each call to a random gate, as a load
// balancer would.
type Callers struct {
	gates  []string
	client *http.Client
	group  *duty.Group
	// running tracks the callers that have not finished.
	running sync.WaitGroup

	// mu guards the fields below, which all callers share.
	mu      sync.Mutex
	random  *rand.Rand
	records []audit.CallerRecord
	// calls counts the result codes of all calls; answers and reasons count the codes
	// and the reasons of the callers' first answers.
	calls, answers map[result.Code]int
	reasons        map[string]int
	// brokenCalls holds the errors of connections that broke during a call.
	brokenCalls []string
}

// NewCallers returns callers that use all gates of the cluster.
func (c *Cluster) NewCallers() *Callers {
	w := &Callers{
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
		w.gates = append(w.gates, d.gateAddresses...)
	}
	return w
}

// Send starts one caller.
func (w *Callers) Send(j Job) {
	w.running.Add(1)
	w.group.Serve(func(context.Context) error {
		defer w.running.Done()
		w.addRecord(w.serve(j))
		return nil
	})
}

// SendMany starts count callers, one per period.
func (w *Callers) SendMany(count int, period time.Duration, job func(i int) Job) {
	for i := range count {
		w.Send(job(i))
		time.Sleep(period)
	}
}

// SendFor starts one caller per period for the given time.
func (w *Callers) SendFor(span, period time.Duration, job func(i int) Job) {
	w.SendMany(int(span/period), period, job)
}

// Done waits for all callers and returns their records.
func (w *Callers) Done() []audit.CallerRecord {
	w.running.Wait()
	ginkgo.GinkgoWriter.Println(w.Summary())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.records
}

// Count returns how many callers have got the code as their first answer so far.
func (w *Callers) Count(code result.Code) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers[code]
}

// Summary describes the results of all calls so far, including those that were
// retried.
func (w *Callers) Summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("calls %v, answers %v for %v, %d calls broken", w.calls, w.answers, w.reasons, len(w.brokenCalls))
}

// BrokenCalls returns the errors of connections that broke during a call. A failure
// to connect does not count: a load balancer would pick another instance.
func (w *Callers) BrokenCalls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brokenCalls
}

func (w *Callers) addRecord(record audit.CallerRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, record)
	if len(record.Answers) > 0 {
		w.answers[result.Code(record.Answers[0].Code)]++
		w.reasons[record.Answers[0].Reason]++
	}
}

// recordError records err unless it is a failure to connect.
func (w *Callers) recordError(err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenCalls = append(w.brokenCalls, err.Error())
}

func (w *Callers) countCode(code int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[result.Code(code)]++
}

// pickGate returns the address of a random gate.
func (w *Callers) pickGate() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gates[w.random.IntN(len(w.gates))]
}
