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
	// callerRing is the capacity of a caller's ring. The pacer assigns a job only
	// to an idle caller, so the ring never overflows.
	callerRing = 1
	// tallyRing is the capacity of the tally's ring; callers block while it is full.
	tallyRing = 1024
	// waitSlice is the longest wait for an answer that one call requests.
	waitSlice = 5 * time.Second
)

// Options configure a run.
type Options struct {
	// Workload is the set of request streams to submit.
	Workload *Workload
	// Gates are the URLs of the entry instances; each call uses one of them.
	Gates []string
	// Keys are the secrets of the teams.
	Keys *Keys
	// Duration is the time during which requests are generated.
	Duration time.Duration
	// AnswerTimeout is the timeout of one request with all its retries.
	AnswerTimeout time.Duration
	// Callers is the largest number of requests in flight.
	Callers int
	// Seed seeds all random choices. Run must be unique to each run: it begins the
	// idempotency keys.
	Seed uint64
	Run  string
	// DuplicateProbability is the probability of requesting an answer a second time.
	DuplicateProbability float64
	// Records receives the callers' records as JSON lines, Out the progress lines.
	Records, Out io.Writer
}

// Run submits the workload to the entry instances and returns the result. The end
// of ctx interrupts the run.
func Run(ctx context.Context, o Options) (*Result, error) {
	system := clock.System{}
	counts := newTally(o.Workload, system, o.Records, o.Out)
	tallyDuty := duty.New("tally", tallyRing, counts)
	p := newPacer(o, system)
	// The pacer's ring has a slot for each caller, so an idle message always fits.
	paceDuty := duty.New("pace", o.Callers, p)
	group := duty.NewGroup(ctx)
	callers := newCallers(o, group.Context(), system, tallyDuty, paceDuty)
	p.assignTo = func(caller int, j job) { callers[caller].Offer(j) }
	// The tally must outlive the callers that write to it, also when the run is
	// interrupted, so it doesn't share their context.
	tallyGroup := duty.NewGroup(context.Background())
	tallyGroup.Start(tallyDuty)
	drive(ctx, group, p, paceDuty, callers)
	driveErr := group.Wait()
	tallyDuty.Stop()
	if err := errors.Join(driveErr, tallyGroup.Wait(), counts.err); err != nil {
		return nil, eris.Wrap(err, "driving the workload")
	}
	counts.result.Interrupted = ctx.Err() != nil
	return counts.result, nil
}

// drive runs the pacer and the callers until all requests are done or ctx ends.
func drive(ctx context.Context, group *duty.Group, p *pacer, paceDuty *duty.Duty[paceMessage], callers []*duty.Duty[job]) {
	group.Start(paceDuty)
	for i, c := range callers {
		group.Start(c)
		paceDuty.Offer(paceMessage{caller: i})
	}
	select {
	case <-p.finished:
	case <-ctx.Done():
	}
	paceDuty.Stop()
	for _, c := range callers {
		c.Stop()
	}
}

func newCallers(o Options, ctx context.Context, c clock.Clock, tallyDuty *duty.Duty[completion], paceDuty *duty.Duty[paceMessage]) []*duty.Duty[job] {
	teams := teamClients(o)
	var callers []*duty.Duty[job]
	for i := range o.Callers {
		handler := &caller{
			number: i, ctx: ctx, clock: c, giveUp: o.AnswerTimeout, teams: teams,
			// Put can't fail: the tally's ring is closed only after the callers have ended.
			report: func(d completion) { _ = tallyDuty.Put(context.Background(), d) },
			idle:   func(n int) { paceDuty.Offer(paceMessage{caller: n}) },
		}
		callers = append(callers, duty.New("caller-"+strconv.Itoa(i), callerRing, handler))
	}
	return callers
}

// teamClients returns a retrying client for each team of the workload.
func teamClients(o Options) map[model.TeamName]teamClient {
	transport := &http.Transport{MaxIdleConns: o.Callers * len(o.Gates), MaxIdleConnsPerHost: o.Callers}
	shared := &http.Client{Transport: transport}
	teams := map[model.TeamName]teamClient{}
	for _, s := range o.Workload.Streams {
		name, secret := model.TeamName(s.Team), o.Keys.secret(s.Team)
		if _, exists := teams[name]; exists {
			continue
		}
		var entries []*client.Client
		for _, gate := range o.Gates {
			entries = append(entries, client.New(gate, secret, shared))
		}
		teams[name] = teamClient{retrying: client.NewCaller(entries, waitSlice), hash: keyHash(secret)}
	}
	return teams
}
