package holder

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// lateSeeds is the number of random sequences, of lateRounds rounds each.
	lateSeeds  = 60
	lateRounds = 400
	// lateRound is the upper bound of the time that a round takes.
	lateRound = 60 * time.Millisecond
	// maxReadingTime bounds the time that the reading of an endpoint's clock takes.
	maxReadingTime = 80 * time.Millisecond
	// lateCancelPerMille, lateSilencePerMille, lateRestartPerMille and lateFailurePerMille are
	// the odds of a cancel, of a silence, of a restart of the endpoint, and of a failure of the
	// instance that sends commands, in a round.
	lateCancelPerMille, lateSilencePerMille, lateRestartPerMille, lateFailurePerMille = 60, 15, 2, 10
	// maxSilentRounds is the largest number of rounds of a silence: longer than a lease.
	maxSilentRounds = 250
	// minLateStarts is the number of starts that arrive after they have been given up, in all
	// sequences, at least.
	minLateStarts = 500
)

// lateStart is a start that may still be executed.
type lateStart struct {
	*fleet.Start
	sentAt time.Time
	// unleased is set if the holder had no lease confirmed that goes on for startLifetime, so
	// that the start carries a whole one.
	unleased bool
}

// lateCell is a holder with one endpoint that may execute starts at any time after they were
// sent, and that loses or delays its responses.
type lateCell struct {
	*Holder
	random *rand.Rand
	// drift is the rate of the endpoint's clock.
	drift     float64
	born      int64
	startedAt time.Time
	// leaseEnd is the end of the endpoint's lease, confirmed the latest one of which the
	// holder knows.
	leaseEnd, confirmed fleet.EndpointTime
	running             map[jobs.RunID]bool
	// ended is, for each task, the highest number of a run that has ended or was stopped.
	ended map[jobs.TaskID]int
	// silentFor is the number of rounds for which the endpoint will not respond.
	silentFor int
	// seen is the last command that has been executed, lost or delayed.
	seen      uint64
	starts    []lateStart
	cancelled map[jobs.ID]time.Time
	jobs      int
	// late is the number of starts that arrived after they had been given up, executed that of
	// those that the endpoint executed.
	late, executed int
}

func newLateCell(ctx context.Context, seed uint64) *lateCell {
	c := &lateCell{
		Holder: newTestHolder(ctx), random: rand.New(rand.NewPCG(seed, seed)), born: 1, running: map[jobs.RunID]bool{},
		ended: map[jobs.TaskID]int{}, cancelled: map[jobs.ID]time.Time{},
	}
	c.drift = 1 - 0.02*c.random.Float64()
	c.startedAt = c.now.Add(-time.Minute)
	if seed%2 == 0 {
		c.DirectEndpoints = 1
		c.applyEntry(testEntry("e", 16))
		c.cell.commands.setInstances([]instances.Instance{{Address: "10.0.1.1:1", CPUShare: 1}})
		c.DirectEndpoints = 0
		c.cell.commands.updateRoutes(c.Holder)
	}
	c.applyEntry(testEntry("e", 16))
	return c
}

func (c *lateCell) odds(perMille int) bool { return c.random.IntN(1000) < perMille }

// clock returns the endpoint's time.
func (c *lateCell) clock() fleet.EndpointTime {
	return fleet.EndpointTime(float64(c.now.Sub(c.startedAt).Milliseconds()) * c.drift)
}

// rejects reports whether the endpoint would not execute the start now.
func (c *lateCell) rejects(s *fleet.Start) bool {
	return c.clock() >= s.Until || s.Run.Number <= c.ended[s.Run.Task]
}

func (c *lateCell) lapse() {
	if c.leaseEnd == 0 || c.clock() < c.leaseEnd {
		return
	}
	for run := range c.running {
		c.end(run)
	}
}

func (c *lateCell) end(run jobs.RunID) {
	delete(c.running, run)
	c.ended[run.Task] = max(c.ended[run.Task], run.Number)
}

// executeStart executes a start that was sent at sentAt.
func (c *lateCell) executeStart(s lateStart) {
	c.lapse()
	if c.rejects(s.Start) || c.running[s.Run] {
		return
	}
	Expect(c.cell.planner.Live(s.Run)).To(BeTrue(), "a start is executed whose run has been forgotten: %v", s.Run)
	if !s.unleased {
		if at, cancelled := c.cancelled[s.Run.Task.Job]; cancelled {
			Expect(maxJobsAge+c.now.Sub(at)).To(BeNumerically("<", startsBy), "%v", s.Run)
		}
	}
	c.running[s.Run], c.leaseEnd = true, max(c.leaseEnd, s.Until)
	if c.givenUp(s) {
		c.executed++
	}
}

// givenUp reports whether the holder has given up the start.
func (c *lateCell) givenUp(s lateStart) bool {
	return c.now.Sub(s.sentAt) > dispatch.SendWindow+dispatch.StartStopTimeout
}

// executeCommands executes the commands that were sent since the last call, unless they are
// lost or delayed, and delivers the outcomes that are not lost.
func (c *lateCell) executeCommands() {
	// Whether a lease was confirmed when the starts were sent, before any outcome arrives.
	unleased := c.confirmed < c.endpointTime(c.cell.sessions["e"], startLifetime)
	for id := c.seen + 1; id <= c.cell.commands.lastID; id++ {
		p, pending := c.cell.commands.pending[id]
		if !pending {
			continue
		}
		if start := p.command.Start; start != nil {
			s := lateStart{Start: start, sentAt: c.now, unleased: unleased}
			if c.silentFor > 0 || c.odds(300) {
				c.starts = append(c.starts, s)
				continue
			}
			rejected := c.rejects(start)
			c.executeStart(s)
			c.respond(id, rejected, fleet.Listing{})
			continue
		}
		if c.silentFor > 0 || c.odds(50) {
			continue
		}
		c.lapse()
		if stop := p.command.Stop; stop != nil {
			c.end(stop.Run)
			c.respond(id, false, fleet.Listing{})
			continue
		}
		c.leaseEnd = max(c.leaseEnd, p.command.Renew.Until)
		listing := fleet.Listing{Born: c.born, Clock: c.clock()}
		for _, run := range slices.SortedFunc(maps.Keys(c.running), func(a, b jobs.RunID) int {
			return cmp.Compare(a.String(), b.String())
		}) {
			listing.Running = append(listing.Running, fleet.RunStatus{Run: run, Percent: 1})
		}
		c.advance(time.Duration(c.random.Int64N(int64(maxReadingTime))))
		if c.respond(id, false, listing) {
			c.confirmed = max(c.confirmed, p.command.Renew.Until)
		}
	}
	c.seen = c.cell.commands.lastID
}

// respond delivers the outcome of a command, unless it is lost, which it reports.
func (c *lateCell) respond(id uint64, rejected bool, listing fleet.Listing) (delivered bool) {
	if c.odds(100) {
		return false
	}
	o := dispatch.Outcome{ID: id, Listing: listing}
	if rejected {
		o.Code = dispatch.Refused
	}
	c.cell.commands.handleOutcome(c.Holder, o)
	return true
}

// restart begins a new incarnation. What was sent to the former one is lost with its
// connections.
func (c *lateCell) restart() {
	c.born, c.startedAt, c.leaseEnd, c.confirmed = c.born+1, c.now, 0, 0
	c.running, c.ended, c.starts = map[jobs.RunID]bool{}, map[jobs.TaskID]int{}, nil
	entry := testEntry("e", 16)
	entry.Born = c.born
	c.applyEntry(entry)
}

func (c *lateCell) round() {
	c.advance(time.Duration(c.random.Int64N(int64(lateRound))))
	switch {
	case c.odds(lateSilencePerMille) && c.silentFor == 0:
		c.silentFor = 1 + c.random.IntN(maxSilentRounds)
	case c.odds(lateRestartPerMille):
		c.restart()
	case c.odds(lateFailurePerMille):
		remoteFailedMessage{epoch: 1, address: "10.0.1.1:1", sent: true, err: eris.New("no reply")}.apply(c.Holder)
	case c.odds(lateCancelPerMille) && c.jobs > 0:
		id := jobs.ID(fmt.Sprint(c.random.IntN(c.jobs)))
		if _, again := c.cancelled[id]; !again {
			c.cancelled[id] = c.now
			c.cell.planner.CancelJob(id)
		}
	case c.odds(300):
		c.cell.planner.AddJob(&jobs.Job{
			ID: jobs.ID(fmt.Sprint(c.jobs)), Team: "red", Queue: testQueue, Accepted: c.now.UnixMilli(),
			Steps: []jobs.Step{{Count: 2, Size: model.Resources{model.CPU: 100}, Estimate: time.Second}},
		}, nil)
		c.jobs++
	}
	c.silentFor = max(0, c.silentFor-1)
	c.cell.commands.expire(c.Holder)
	c.serveSessions()
	c.retryDueStops()
	c.cell.planner.Decide()
	plan := c.cell.planner.TakePlan()
	for _, stop := range plan.Stops {
		c.sendStop(stop)
	}
	c.cell.recorder.startsInWrite = append(c.cell.recorder.startsInWrite, plan.Starts...)
	recordedMessage{1}.apply(c.Holder)
	for _, r := range c.cell.commands.remotes {
		// The instance has got them.
		r.batch = nil
	}
	c.executeCommands()
	var waiting []lateStart
	for _, s := range c.starts {
		if c.silentFor > 0 || !c.odds(20) {
			waiting = append(waiting, s)
			continue
		}
		if c.givenUp(s) {
			c.late++
		}
		c.executeStart(s)
	}
	c.starts = waiting
	// None that is on its way may be executed once its run has been forgotten.
	for _, s := range c.starts {
		Expect(c.cell.planner.Live(s.Run) || c.rejects(s.Start)).To(BeTrue(), "%v has been forgotten, and its start may be executed", s.Run)
	}
}

// A run that is forgotten while its start may be executed is not stopped before a listing shows it.
var _ = Describe("A start that is executed late", func() {
	It("belongs to a run that the holder has not forgotten, and is not too late for a cancel", func(ctx SpecContext) {
		late, executed := 0, 0
		for seed := range uint64(lateSeeds) {
			By(fmt.Sprint("seed ", seed))
			c := newLateCell(ctx, seed)
			for range lateRounds {
				c.round()
			}
			late, executed = late+c.late, executed+c.executed
		}
		AddReportEntry("late starts", fmt.Sprintf("%d, of which %d were executed", late, executed))
		Expect(late).To(BeNumerically(">", minLateStarts))
	})
})
