package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// job is one request for a caller to serve.
type job struct {
	key       model.IdempotencyKey
	team      model.TeamName
	spec      model.Spec
	run       time.Duration
	duplicate bool
	dueTime   time.Time
}

// paceMessage notifies the pacer that a caller is idle.
type paceMessage struct{ caller int }

// pacer is the duty that generates requests at their due times and assigns them to
// idle callers.
type pacer struct {
	clock   clock.Clock
	run     string
	streams []*streamState
	// until is the end of request generation, exclusive.
	until time.Time
	// backlog holds the requests that are due and not yet assigned to a caller.
	backlog []job
	idle    []int
	callers int
	// assignTo gives a job to an idle caller.
	assignTo func(caller int, j job)
	// duplicateProbability is the probability that an answer is requested twice.
	duplicateProbability float64
	// finished is closed once no request is left and all callers are idle.
	finished chan struct{}
	closed   bool
}

func newPacer(o Options, c clock.Clock) *pacer {
	start := c.Now()
	return &pacer{
		clock:                c,
		run:                  o.Run,
		streams:              newStreams(o.Workload, o.Seed, start),
		until:                start.Add(o.Duration),
		callers:              o.Callers,
		duplicateProbability: o.DuplicateProbability,
		finished:             make(chan struct{}),
	}
}

// streamState is a stream with a random source of its own, so that the streams are
// independent of each other.
type streamState struct {
	*Stream
	random    *rand.Rand
	next      time.Time
	generated int
}

func newStreams(w *Workload, seed uint64, start time.Time) []*streamState {
	var streams []*streamState
	for i := range w.Streams {
		s := &streamState{Stream: &w.Streams[i], random: rand.New(rand.NewPCG(seed, uint64(i))), next: start}
		s.advance()
		streams = append(streams, s)
	}
	return streams
}

// advance moves the stream to its next arrival of a Poisson process.
func (s *streamState) advance() {
	gap := s.random.ExpFloat64() / s.Rate
	s.next = s.next.Add(time.Duration(gap * float64(time.Second)))
}

// Handle marks the callers of the batch as idle, generates the requests that are due
// and assigns as many as it can. It returns the wait until the next one is due.
func (p *pacer) Handle(batch []paceMessage) time.Duration {
	for _, m := range batch {
		p.idle = append(p.idle, m.caller)
	}
	now := p.clock.Now()
	next := p.generateDue(now)
	p.assign()
	switch {
	case !next.IsZero():
		return next.Sub(now)
	case len(p.backlog) == 0 && len(p.idle) == p.callers && !p.closed:
		p.closed = true
		close(p.finished)
	}
	return duty.Never
}

// generateDue adds the requests that are due to the backlog and returns the due time
// of the next one; the zero time when there is none.
func (p *pacer) generateDue(now time.Time) time.Time {
	var earliest time.Time
	for _, s := range p.streams {
		for !s.next.After(now) && s.next.Before(p.until) {
			p.backlog = append(p.backlog, p.newJob(s))
			s.advance()
		}
		if s.next.Before(p.until) && (earliest.IsZero() || s.next.Before(earliest)) {
			earliest = s.next
		}
	}
	return earliest
}

func (p *pacer) assign() {
	for len(p.backlog) > 0 && len(p.idle) > 0 {
		last := len(p.idle) - 1
		p.assignTo(p.idle[last], p.backlog[0])
		p.idle, p.backlog = p.idle[:last], p.backlog[1:]
	}
}

// newJob returns the next request of the stream.
func (p *pacer) newJob(s *streamState) job {
	s.generated++
	run := s.between(s.MinRun, s.MaxRun)
	payload := standin.Payload{
		RunMS:           run.Milliseconds(),
		Output:          s.Name + "/",
		FailProbability: s.FailProbability,
		Seed:            s.random.Uint64(),
	}
	return job{
		key:       model.IdempotencyKey(fmt.Sprintf("%s-%s-%d", p.run, s.Name, s.generated)),
		team:      model.TeamName(s.Team),
		run:       run,
		dueTime:   s.next,
		duplicate: s.random.Float64() < p.duplicateProbability,
		spec: model.Spec{
			Class:         model.ClassName(s.Class),
			Kind:          model.Kind(s.Kind),
			Tasks:         s.MinTasks + s.random.IntN(s.MaxTasks-s.MinTasks+1),
			Size:          s.size(),
			Estimate:      s.estimate(run),
			NotRepeatable: s.NotRepeatable,
			Payload:       payload.Encode(),
		},
	}
}

func (s *streamState) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// estimate returns the declared run time, which differs from run by up to the factor
// EstimateError in either direction.
func (s *streamState) estimate(run time.Duration) time.Duration {
	factor := 1 + s.random.Float64()*(s.EstimateError-1)
	if s.random.IntN(2) == 0 {
		factor = 1 / factor
	}
	return time.Duration(float64(run) * factor)
}
