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
	callers := &Callers{
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
		callers.gates = append(callers.gates, d.gateAddresses...)
	}
	return callers
}

// Send starts one caller.
func (c *Callers) Send(j Job) {
	c.running.Add(1)
	c.group.Serve(func(context.Context) error {
		defer c.running.Done()
		c.addRecord(c.serve(j))
		return nil
	})
}

// SendMany starts count callers, one per period.
func (c *Callers) SendMany(count int, period time.Duration, job func(i int) Job) {
	for i := range count {
		c.Send(job(i))
		time.Sleep(period)
	}
}

// SendFor starts one caller per period for the given time.
func (c *Callers) SendFor(span, period time.Duration, job func(i int) Job) {
	c.SendMany(int(span/period), period, job)
}

// Done waits for all callers and returns their records.
func (c *Callers) Done() []audit.CallerRecord {
	c.running.Wait()
	ginkgo.GinkgoWriter.Println(c.Summary())
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records
}

// Count returns how many callers have got the code as their first answer so far.
func (c *Callers) Count(code result.Code) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[code]
}

// Summary describes the results of all calls so far, including those that were
// retried.
func (c *Callers) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("calls %v, answers %v for %v, %d calls broken", c.calls, c.answers, c.reasons, len(c.brokenCalls))
}

// BrokenCalls returns the errors of connections that broke during a call. A failure
// to connect does not count: a load balancer would pick another instance.
func (c *Callers) BrokenCalls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.brokenCalls
}

func (c *Callers) addRecord(record audit.CallerRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
	if len(record.Answers) > 0 {
		c.answers[result.Code(record.Answers[0].Code)]++
		c.reasons[record.Answers[0].Reason]++
	}
}

// recordError records err unless it is a failure to connect.
func (c *Callers) recordError(err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenCalls = append(c.brokenCalls, err.Error())
}

func (c *Callers) countCode(code int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[result.Code(code)]++
}

// pickGate returns the address of a random gate.
func (c *Callers) pickGate() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gates[c.random.IntN(len(c.gates))]
}
