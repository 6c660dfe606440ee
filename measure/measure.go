// Package measure works out what the users measure of a run: packing, how near
// each team comes to its share, and the cost of control. It reads what the
// stand-ins recorded, what callers wrote down and what processes say of
// themselves.
package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// step is the time between two samples of a run.
const step = 100 * time.Millisecond

// fullDemand is how much more must be asked for than there is in use for the
// cell to count as short of capacity.
const fullDemand = 1.1

// Usage is what a run made of the fleet.
type Usage struct {
	// Starts is the number of attempts started.
	Starts int
	// Span is the time from the first start to the last end.
	Span time.Duration
	// Packing is the mean of the fleet's dominant committed share.
	Packing float64
	// Peak is the largest committed share.
	Peak float64
	// ShareError is the mean part of what is in use that is not where the
	// teams' shares and demands say, while capacity is short.
	ShareError float64
	// Short is the time for which capacity was short.
	Short time.Duration
}

// change is a step of an amount at a time.
type change struct {
	at     time.Time
	team   model.TeamName
	amount model.Resources
}

// FleetUsage replays the records and the callers' requests.
func FleetUsage(records []standin.Record, callers []audit.CallerRecord, teams []model.Team) Usage {
	committed, total := commitments(records)
	if len(committed) == 0 {
		return Usage{}
	}
	r := &replay{
		total:    total,
		teams:    teams,
		used:     newTimeline(committed),
		demanded: newTimeline(demands(callers)),
	}
	first, last := committed[0].at, committed[len(committed)-1].at
	for at := first; !at.After(last); at = at.Add(step) {
		r.sample(at)
	}
	usage := r.usage(last.Sub(first))
	for _, record := range records {
		if record.Kind == standin.Started {
			usage.Starts++
		}
	}
	return usage
}

// commitments returns the changes of what is committed, in order of time, and
// the fleet's capacity.
func commitments(records []standin.Record) ([]change, model.Resources) {
	var changes []change
	var total model.Resources
	running := map[model.AttemptID]standin.Record{}
	for _, r := range records {
		switch r.Kind {
		case standin.Added:
			total = total.Add(r.Size)
		case standin.Started:
			running[r.Attempt] = r
			changes = append(changes, change{at: r.Time, team: r.Team, amount: r.Size})
		case standin.Ended:
			started, found := running[r.Attempt]
			if !found {
				continue
			}
			delete(running, r.Attempt)
			released := model.Resources{}.Sub(started.Size)
			changes = append(changes, change{at: r.Time, team: started.Team, amount: released})
		}
	}
	inOrder(changes)
	return changes, total
}

// demands returns the changes of what callers wait for or have running.
func demands(callers []audit.CallerRecord) []change {
	var changes []change
	for _, c := range callers {
		asked := c.Spec.Size.Scale(int64(max(c.Spec.Tasks, 1)))
		changes = append(changes, change{at: c.Sent, team: c.Team, amount: asked})
		if !c.Answered.IsZero() {
			changes = append(changes, change{at: c.Answered, team: c.Team, amount: model.Resources{}.Sub(asked)})
		}
	}
	inOrder(changes)
	return changes
}

func inOrder(changes []change) {
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
}

// timeline is the sum of changes up to a time that moves forward.
type timeline struct {
	changes []change
	next    int
	byTeam  map[model.TeamName]model.Resources
}

func newTimeline(changes []change) *timeline {
	return &timeline{changes: changes, byTeam: map[model.TeamName]model.Resources{}}
}

func (t *timeline) moveTo(at time.Time) {
	for ; t.next < len(t.changes) && !t.changes[t.next].at.After(at); t.next++ {
		c := t.changes[t.next]
		t.byTeam[c.team] = t.byTeam[c.team].Add(c.amount)
	}
}

func (t *timeline) sum() model.Resources {
	var sum model.Resources
	for _, amount := range t.byTeam {
		sum = sum.Add(amount)
	}
	return sum
}

// replay samples a run.
type replay struct {
	total    model.Resources
	teams    []model.Team
	used     *timeline
	demanded *timeline
	samples  int
	short    int
	packing  float64
	peak     float64
	errors   float64
}

func (r *replay) sample(at time.Time) {
	r.used.moveTo(at)
	r.demanded.moveTo(at)
	share := r.used.sum().DominantShare(r.total)
	r.samples++
	r.packing += share
	r.peak = max(r.peak, share)
	if r.demanded.sum().DominantShare(r.total) < fullDemand*max(share, 1/fullDemand) {
		return
	}
	r.short++
	r.errors += r.shareError()
}

// shareError is half the distance between what teams use and what they are
// entitled to, as a part of all that is used.
func (r *replay) shareError() float64 {
	var claims []claim
	inUse := 0.0
	for _, team := range r.teams {
		used := r.used.byTeam[team.Name].DominantShare(r.total)
		demand := r.demanded.byTeam[team.Name].DominantShare(r.total)
		claims = append(claims, claim{used: used, demand: max(demand, used), weight: float64(team.Share)})
		inUse += used
	}
	if inUse == 0 {
		return 0
	}
	fill(claims, inUse)
	distance := 0.0
	for _, c := range claims {
		distance += max(c.used-c.entitled, c.entitled-c.used)
	}
	return distance / (2 * inUse)
}

func (r *replay) usage(span time.Duration) Usage {
	u := Usage{Span: span, Peak: r.peak, Short: time.Duration(r.short) * step}
	if r.samples > 0 {
		u.Packing = r.packing / float64(r.samples)
	}
	if r.short > 0 {
		u.ShareError = r.errors / float64(r.short)
	}
	return u
}

// claim is one team's part in the division of what is in use.
type claim struct {
	used     float64
	demand   float64
	weight   float64
	entitled float64
}

// fill divides amount among the claims by weight, none above its demand
// (weighted max-min fairness).
func fill(claims []claim, amount float64) {
	order := make([]*claim, len(claims))
	weights := 0.0
	for i := range claims {
		order[i] = &claims[i]
		weights += claims[i].weight
	}
	slices.SortFunc(order, func(a, b *claim) int {
		return cmp.Compare(a.demand*b.weight, b.demand*a.weight)
	})
	for _, c := range order {
		c.entitled = min(c.demand, amount*c.weight/weights)
		amount -= c.entitled
		weights -= c.weight
	}
}
