package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/client"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// callerRing is the capacity of a caller's ring. The pacer hands out a job
	// only to a caller that is idle, so that it does not fill.
	callerRing = 1
	// tallyRing is the capacity of the tally's ring; callers push back.
	tallyRing = 1024
	// waitSlice is the wait asked for in one call.
	waitSlice = 5 * time.Second
)

// Options say how a workload is driven.
type Options struct {
	// Workload is what is handed in.
	Workload *Workload
	// Gates are the URLs of the entry instances; each call picks one.
	Gates []string
	// Keys are the secrets of the teams.
	Keys *Keys
	// Duration is how long requests are made.
	Duration time.Duration
	// GiveUp bounds the time for one request.
	GiveUp time.Duration
	// Callers is the number of requests under way at most.
	Callers int
	// Seed is the seed of all chance, Run a name that is new for each run.
	Seed uint64
	Run  string
	// Again is the chance that an answer is asked for a second time.
	Again float64
	// Records takes the callers' records as JSON lines, Out the progress.
	Records, Out io.Writer
}

// Run drives the entry instances and returns what came of it. The end of ctx
// interrupts the run.
func Run(ctx context.Context, o Options) (*Result, error) {
	system := clock.System{}
	counting := newTally(o.Workload, system, o.Records, o.Out)
	tallying := duty.New("tally", tallyRing, counting)
	pace := newPacer(o, system)
	// The pacer's ring holds one message for each caller, so that none waits.
	pacing := duty.New("pace", o.Callers, pace)
	driving := duty.NewGroup(ctx)
	callers := newCallers(o, driving.Context(), system, tallying, pacing)
	pace.hand = func(caller int, j job) { callers[caller].Offer(j) }
	// The tally outlives its writers, also when the run is interrupted.
	counters := duty.NewGroup(context.Background())
	counters.Start(tallying)
	drive(ctx, driving, pace, pacing, callers)
	driven := driving.Wait()
	tallying.Stop()
	if err := errors.Join(driven, counters.Wait(), counting.err); err != nil {
		return nil, eris.Wrap(err, "driving the workload")
	}
	counting.result.Interrupted = ctx.Err() != nil
	return counting.result, nil
}

// drive runs pacer and callers until all requests are done or ctx ends.
func drive(ctx context.Context, group *duty.Group, pace *pacer, pacing *duty.Duty[paceMessage], callers []*duty.Duty[job]) {
	group.Start(pacing)
	for i, c := range callers {
		group.Start(c)
		pacing.Offer(paceMessage{caller: i})
	}
	select {
	case <-pace.finished:
	case <-ctx.Done():
	}
	pacing.Stop()
	for _, c := range callers {
		c.Stop()
	}
}

func newCallers(o Options, ctx context.Context, c clock.Clock, tallying *duty.Duty[done], pacing *duty.Duty[paceMessage]) []*duty.Duty[job] {
	teams := teamCallers(o)
	var callers []*duty.Duty[job]
	for i := range o.Callers {
		handler := &caller{
			number: i, ctx: ctx, clock: c, giveUp: o.GiveUp, teams: teams,
			// The tally's ring is closed after the callers have ended.
			tell: func(d done) { _ = tallying.Put(context.Background(), d) },
			idle: func(n int) { pacing.Offer(paceMessage{caller: n}) },
		}
		callers = append(callers, duty.New("caller-"+strconv.Itoa(i), callerRing, handler))
	}
	return callers
}

// teamCallers returns a careful caller for each team of the workload.
func teamCallers(o Options) map[model.TeamName]teamCaller {
	transport := &http.Transport{MaxIdleConns: o.Callers * len(o.Gates), MaxIdleConnsPerHost: o.Callers}
	shared := &http.Client{Transport: transport}
	teams := map[model.TeamName]teamCaller{}
	for _, s := range o.Workload.Streams {
		name, secret := model.TeamName(s.Team), o.Keys.secret(s.Team)
		if _, known := teams[name]; known {
			continue
		}
		var entries []*client.Client
		for _, gate := range o.Gates {
			entries = append(entries, client.New(gate, secret, shared))
		}
		teams[name] = teamCaller{careful: client.NewCaller(entries, waitSlice), hash: keyHash(secret)}
	}
	return teams
}
