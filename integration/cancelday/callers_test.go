package cancelday_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callDeadline is how long a caller waits for a response.
	callDeadline = 3 * time.Second
	// retryPause is the time between two attempts of a call.
	retryPause = 200 * time.Millisecond
	// maxSubmits and maxCancels bound the attempts.
	maxSubmits, maxCancels = 6, 40
	// cancelShare is the share of the accepted jobs that are cancelled, abandonShare that
	// of the jobs that are cancelled after a submission without an answer.
	cancelShare, abandonShare = 0.5, 0.5
	// resendShare is the share of the jobs whose submission is sent again after it was
	// accepted.
	resendShare = 0.2
)

// class is a class of jobs, as the users' grown site has them.
type class struct {
	queue               string
	weight              float64
	steps, maxSteps     float64
	width, maxWidth     float64
	work                float64
	cpu, memory         int
	gang, checkpoints   float64
	copies              float64
	spread              float64
	adviceMS            float64
	advicePerEndpointMS float64
	eligible            float64
	priority            int
	objectiveMS         int
	stretch             float64
}

var classes = []*class{
	{queue: "batch", weight: 5, steps: 1.2, maxSteps: 3, width: 20, maxWidth: 120, work: 5000, cpu: 4500, memory: 9000, gang: 1, checkpoints: 0.5, adviceMS: 480, advicePerEndpointMS: 6.8, eligible: 0.3, priority: 1, objectiveMS: 1000, stretch: 2.2},
	{queue: "screen", weight: 12, steps: 1.8, maxSteps: 4, width: 25, maxWidth: 150, work: 3400, cpu: 1600, memory: 4000, checkpoints: 0.8, copies: 0.2, spread: 0.12, adviceMS: 120, advicePerEndpointMS: 1.8, eligible: 0.45, priority: 2, objectiveMS: 3000, stretch: 4},
	{queue: "verify", weight: 100, steps: 1, maxSteps: 2, width: 3.2, maxWidth: 19, work: 800, cpu: 2300, memory: 3000, gang: 0.3, copies: 0.1, adviceMS: 9, advicePerEndpointMS: 0.13, eligible: 0.7, priority: 0, objectiveMS: 300, stretch: 1.5},
}

// classOf returns the class of a job, which is the last digit of its ID; name begins with it.
func classOf(name string) *class {
	id, _, _ := strings.Cut(name, ".")
	if id == "" || int(id[len(id)-1]-'0') >= len(classes) {
		return classes[0]
	}
	return classes[id[len(id)-1]-'0']
}

const (
	tenants = 5
	service = "recipe"
)

// configuration returns the operators' configuration.
func configuration() map[string]any {
	var routes, teams []map[string]any
	for _, c := range classes {
		routes = append(routes, map[string]any{
			"name": c.queue, "host": c.queue + ".example", "path-prefix": "/" + c.queue + "/", "timeout-ms": callDeadline.Milliseconds(), "slo-ms": c.objectiveMS,
			"priority": c.priority, "service": service, "attempts": 3, "stretch": c.stretch,
			"advice": map[string]any{"decide-ms": c.adviceMS, "period-ms": c.advicePerEndpointMS, "valid-ms": ticketTime.Milliseconds()},
		})
	}
	for i := range tenants {
		teams = append(teams, map[string]any{"name": fmt.Sprintf("t%d", i), "api-keys": []string{fmt.Sprintf("key%d", i)}, "weight": 100, "cap": map[string]any{}})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": service}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144}, "tenants": teams,
	}
}

// answer is a response to a caller; status 0 is none.
type answer struct {
	sent, at time.Time
	node     string
	status   int
	state    string
}

func (a answer) String() string {
	return fmt.Sprintf("%s..%s %s %d %s", stamp(a.sent), stamp(a.at), a.node, a.status, a.state)
}

// job is a job from its caller's view.
type job struct {
	id     string
	class  *class
	tenant int
	body   map[string]any
	tasks  int

	mu       sync.Mutex
	accepted time.Time
	// acknowledged is when the first 2xx or 410 of a DELETE arrived.
	acknowledged time.Time
	cancels      []answer
	submits      []answer
	states       []answer
}

type callers struct {
	nodes  []*node
	client *http.Client
	seed   uint64
	// early is the share of the jobs that are cancelled while they are being submitted.
	early float64

	mu     sync.Mutex
	random *rand.Rand
	jobs   []*job
	counts map[string]int
	busy   sync.WaitGroup
}

func (c *callers) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *callers) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *callers) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.float()*float64(high-low))
}

// lognormal returns a sample with the given mean between 1 and most.
func (c *callers) lognormal(mean, spread, most float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(max(mean*math.Exp(sigma*c.random.NormFloat64()-sigma*sigma/2), 1), most)
}

func (c *callers) newJob(n int) *job {
	total := 0.0
	for _, k := range classes {
		total += k.weight
	}
	at, digit := c.float()*total, 0
	for at > classes[digit].weight && digit < len(classes)-1 {
		at -= classes[digit].weight
		digit++
	}
	k := classes[digit]
	j := &job{id: fmt.Sprintf("%03x%012x%d", c.seed%4096, n+1, digit), class: k, tenant: c.intN(tenants)}
	var steps []map[string]any
	var plan []string
	count := int(math.Round(c.lognormal(k.steps, 0.4, k.maxSteps)))
	for i := range count {
		width := int(c.lognormal(k.width, 0.8, k.maxWidth))
		work := c.lognormal(k.work, 0.5, 2.4*k.work)
		step := map[string]any{"count": width, "cpu": k.cpu, "mem-mb": k.memory, "est-ms": work * (0.8 + 0.4*c.float())}
		flags := "-"
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		if c.float() < k.checkpoints {
			step["checkpoints"], flags = true, flags+"c"
		}
		if c.float() < k.gang && width > 1 {
			step["gang"], flags = true, flags+"g"
		} else if c.float() < k.copies {
			step["speculative"] = true
		}
		if c.float() < k.spread {
			step["anti-affinity"] = 2
		}
		plan = append(plan, fmt.Sprintf("%d/%s/%d", int(work), flags, width))
		steps = append(steps, step)
		j.tasks += width
	}
	j.body = map[string]any{"spec": strings.Join(plan, ";") + ";" + strings.Repeat("x", 300), "steps": steps}
	return j
}

// pick returns a random running node other than but.
func (c *callers) pick(but string) *node {
	for range 20 {
		n := c.nodes[c.intN(len(c.nodes))]
		if n.pid() != 0 && n.name != but {
			return n
		}
	}
	return c.nodes[0]
}

func (c *callers) call(n *node, method string, j *job) answer {
	var body io.Reader
	if method == http.MethodPost {
		raw, err := json.Marshal(j.body)
		if err != nil {
			panic(err)
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+n.front+"/"+j.class.queue+"/"+j.id, body)
	if err != nil {
		panic(err)
	}
	request.Host = j.class.queue + ".example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Api-Key", fmt.Sprintf("key%d", j.tenant))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	a := answer{sent: time.Now(), node: n.name}
	response, err := c.client.Do(request)
	if err == nil {
		a.status = response.StatusCode
		var state struct {
			State string `json:"state"`
		}
		// An answer may have no body.
		_ = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		a.state = state.State
	}
	a.at = time.Now()
	c.mu.Lock()
	c.counts[fmt.Sprintf("%s %d", method, a.status)]++
	c.mu.Unlock()
	return a
}

// load submits jobs at the rate until the end.
func (c *callers) load(rate float64, until time.Time) {
	next := time.Now()
	began := next
	for n := 0; next.Before(until); n++ {
		time.Sleep(time.Until(next))
		wave := 1 + 0.3*math.Sin(2*math.Pi*time.Since(began).Seconds()/11)
		next = next.Add(time.Duration(-math.Log(1-c.float()) / (rate * wave) * float64(time.Second)))
		j := c.newJob(n)
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		c.busy.Add(1)
		go func() {
			defer c.busy.Done()
			c.run(j)
		}()
	}
}

func (c *callers) run(j *job) {
	doomed := c.float() < cancelShare
	if c.float() < c.early {
		doomed = false
		c.busy.Add(1)
		go func() {
			defer c.busy.Done()
			time.Sleep(c.duration(0, 150*time.Millisecond))
			c.cancel(j, "")
		}()
	}
	for range maxSubmits {
		a := c.call(c.pick(""), http.MethodPost, j)
		j.mu.Lock()
		j.submits = append(j.submits, a)
		j.mu.Unlock()
		if a.status/100 == 2 {
			j.mu.Lock()
			j.accepted = a.at
			j.mu.Unlock()
			break
		}
		if (a.status == 0 || a.status == http.StatusGatewayTimeout) && c.float() < abandonShare*cancelShare {
			c.cancel(j, a.node)
			return
		}
		if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
			if c.float() < 0.3 {
				return
			}
		}
		time.Sleep(c.duration(retryPause, 4*retryPause))
	}
	if j.accepted.IsZero() {
		return
	}
	if c.float() < resendShare {
		c.busy.Add(1)
		go func() {
			defer c.busy.Done()
			for range 1 + c.intN(2) {
				time.Sleep(c.duration(200*time.Millisecond, 5*time.Second))
				a := c.call(c.pick(""), http.MethodPost, j)
				j.mu.Lock()
				j.submits = append(j.submits, a)
				j.mu.Unlock()
			}
		}()
	}
	if !doomed {
		return
	}
	wait := c.duration(0, 300*time.Millisecond)
	if c.float() < 0.3 {
		wait = c.duration(time.Second, 3*time.Second)
	}
	time.Sleep(wait)
	c.cancel(j, j.submits[len(j.submits)-1].node)
}

func (c *callers) cancel(j *job, but string) {
	for range maxCancels {
		a := c.call(c.pick(but), http.MethodDelete, j)
		j.mu.Lock()
		j.cancels = append(j.cancels, a)
		done := a.status/100 == 2 || a.status == http.StatusGone
		if done && j.acknowledged.IsZero() {
			j.acknowledged = a.at
		}
		j.mu.Unlock()
		if done {
			c.busy.Add(1)
			go func() {
				defer c.busy.Done()
				time.Sleep(c.duration(time.Second, 6*time.Second))
				c.query(j)
			}()
			return
		}
		time.Sleep(c.duration(retryPause, 3*retryPause))
	}
}

// query requests the job's state until a node has it.
func (c *callers) query(j *job) answer {
	var a answer
	for range 10 {
		a = c.call(c.pick(""), http.MethodGet, j)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			break
		}
		time.Sleep(2 * retryPause)
	}
	j.mu.Lock()
	j.states = append(j.states, a)
	j.mu.Unlock()
	return a
}

func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }
