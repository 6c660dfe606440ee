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

// job is one request to be carried to its end.
type job struct {
	key     model.IdempotencyKey
	team    model.TeamName
	spec    model.Spec
	run     time.Duration
	again   bool
	dueTime time.Time
}

// paceMessage is a message to the pacer: a caller has nothing to do.
type paceMessage struct{ caller int }

// pacer is the duty that makes requests at their times.
type pacer struct {
	clock   clock.Clock
	run     string
	streams []*streamState
	// until is when the last request is made.
	until time.Time
	// backlog are requests that are due and have no caller yet.
	backlog []job
	idle    []int
	callers int
	// hand gives a job to a caller that is idle.
	hand func(caller int, j job)
	// again is the chance that an answer is asked for twice.
	again float64
	// finished is closed once all requests are done.
	finished chan struct{}
	closed   bool
}

func newPacer(o Options, c clock.Clock) *pacer {
	start := c.Now()
	return &pacer{
		clock:    c,
		run:      o.Run,
		streams:  newStreams(o.Workload, o.Seed, start),
		until:    start.Add(o.Duration),
		callers:  o.Callers,
		again:    o.Again,
		finished: make(chan struct{}),
	}
}

// streamState is one stream with its own source of chance, so that the streams
// do not depend on each other.
type streamState struct {
	*Stream
	random *rand.Rand
	next   time.Time
	made   int
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

// Handle is the duty.
func (p *pacer) Handle(batch []paceMessage) time.Duration {
	for _, m := range batch {
		p.idle = append(p.idle, m.caller)
	}
	now := p.clock.Now()
	next := p.makeDue(now)
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

// makeDue makes the requests that are due and returns when the next one is;
// the zero time when there is none.
func (p *pacer) makeDue(now time.Time) time.Time {
	var soonest time.Time
	for _, s := range p.streams {
		for !s.next.After(now) && s.next.Before(p.until) {
			p.backlog = append(p.backlog, p.make(s))
			s.advance()
		}
		if s.next.Before(p.until) && (soonest.IsZero() || s.next.Before(soonest)) {
			soonest = s.next
		}
	}
	return soonest
}

func (p *pacer) assign() {
	for len(p.backlog) > 0 && len(p.idle) > 0 {
		last := len(p.idle) - 1
		p.hand(p.idle[last], p.backlog[0])
		p.idle, p.backlog = p.idle[:last], p.backlog[1:]
	}
}

// make returns the next request of the stream.
func (p *pacer) make(s *streamState) job {
	s.made++
	run := s.between(s.MinRun, s.MaxRun)
	payload := standin.Payload{
		RunMS:           run.Milliseconds(),
		Output:          s.Name + "/",
		FailProbability: s.FailProbability,
		Seed:            s.random.Uint64(),
	}
	return job{
		key:     model.IdempotencyKey(fmt.Sprintf("%s-%s-%d", p.run, s.Name, s.made)),
		team:    model.TeamName(s.Team),
		run:     run,
		dueTime: s.next,
		again:   s.random.Float64() < p.again,
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

// estimate returns the declared run time: off by up to the stream's factor.
func (s *streamState) estimate(run time.Duration) time.Duration {
	factor := 1 + s.random.Float64()*(s.EstimateError-1)
	if s.random.IntN(2) == 0 {
		factor = 1 / factor
	}
	return time.Duration(float64(run) * factor)
}
