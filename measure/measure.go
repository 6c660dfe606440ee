// Package measure computes the users' metrics of a run: packing, the deviation of
// each team from its share, and the cost of control. Its inputs are the records of
// the stand-ins and of the callers and the counters of the processes.
package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// samplePeriod is the time between two samples of a run.
const samplePeriod = 100 * time.Millisecond

// shortageRatio is the smallest ratio of demand to usage at which capacity counts as
// short. Demand must also reach the capacity of the fleet.
const shortageRatio = 1.1

// Usage summarises how a run used the fleet.
type Usage struct {
	// Starts is the number of attempts started.
	Starts int
	// Span is the time from the first start to the last end.
	Span time.Duration
	// Packing is the mean dominant share of the fleet that was committed.
	Packing float64
	// Peak is the largest dominant share that was committed.
	Peak float64
	// ShareError is the mean fraction of the resources in use that is not allocated
	// according to the teams' shares and demands, while capacity is short.
	ShareError float64
	// Short is the time during which capacity was short.
	Short time.Duration
}

// change adds an amount to a team's total at a time; a release is negative.
type change struct {
	at     time.Time
	team   model.TeamName
	amount model.Resources
}

// FleetUsage computes the usage by replaying the stand-ins' records and the callers'
// requests. It is zero when nothing was started.
func FleetUsage(records []standin.Record, callers []audit.CallerRecord, teams []model.Team) Usage {
	committed, total := commitments(records)
	if len(committed) == 0 {
		return Usage{}
	}
	r := &replay{
		total:  total,
		teams:  teams,
		usage:  newTimeline(committed),
		demand: newTimeline(demands(callers)),
	}
	first, last := committed[0].at, committed[len(committed)-1].at
	for at := first; !at.After(last); at = at.Add(samplePeriod) {
		r.sample(at)
	}
	usage := r.summary(last.Sub(first))
	for _, record := range records {
		if record.Kind == standin.Started {
			usage.Starts++
		}
	}
	return usage
}

// commitments returns the changes of the committed resources in order of time and
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
	sortByTime(changes)
	return changes, total
}

// demands returns the changes of the resources that callers' unanswered requests
// need, in order of time.
func demands(callers []audit.CallerRecord) []change {
	var changes []change
	for _, c := range callers {
		demand := c.Spec.Size.Scale(int64(max(c.Spec.Tasks, 1)))
		changes = append(changes, change{at: c.Sent, team: c.Team, amount: demand})
		if !c.Answered.IsZero() {
			changes = append(changes, change{at: c.Answered, team: c.Team, amount: model.Resources{}.Sub(demand)})
		}
	}
	sortByTime(changes)
	return changes
}

func sortByTime(changes []change) {
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
}

// timeline sums the changes by team up to a time that only moves forward.
type timeline struct {
	changes []change
	next    int
	byTeam  map[model.TeamName]model.Resources
}

func newTimeline(changes []change) *timeline {
	return &timeline{changes: changes, byTeam: map[model.TeamName]model.Resources{}}
}

func (t *timeline) advanceTo(at time.Time) {
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

// replay samples usage and demand of a run and accumulates the results.
type replay struct {
	total        model.Resources
	teams        []model.Team
	usage        *timeline
	demand       *timeline
	samples      int
	shortSamples int
	packingSum   float64
	peak         float64
	errorSum     float64
}

func (r *replay) sample(at time.Time) {
	r.usage.advanceTo(at)
	r.demand.advanceTo(at)
	share := r.usage.sum().DominantShare(r.total)
	r.samples++
	r.packingSum += share
	r.peak = max(r.peak, share)
	if r.demand.sum().DominantShare(r.total) < shortageRatio*max(share, 1/shortageRatio) {
		return
	}
	r.shortSamples++
	r.errorSum += r.shareError()
}

// shareError is half the sum of the teams' absolute deviations from their
// entitlement, as a fraction of the total usage. Half, since each misallocated amount
// counts for the team that has it and for the one that lacks it.
func (r *replay) shareError() float64 {
	var claims []claim
	inUse := 0.0
	for _, team := range r.teams {
		used := r.usage.byTeam[team.Name].DominantShare(r.total)
		demand := r.demand.byTeam[team.Name].DominantShare(r.total)
		claims = append(claims, claim{used: used, demand: max(demand, used), weight: float64(team.Share)})
		inUse += used
	}
	if inUse == 0 {
		return 0
	}
	allocateMaxMin(claims, inUse)
	distance := 0.0
	for _, c := range claims {
		distance += max(c.used-c.entitled, c.entitled-c.used)
	}
	return distance / (2 * inUse)
}

func (r *replay) summary(span time.Duration) Usage {
	u := Usage{Span: span, Peak: r.peak, Short: time.Duration(r.shortSamples) * samplePeriod}
	if r.samples > 0 {
		u.Packing = r.packingSum / float64(r.samples)
	}
	if r.shortSamples > 0 {
		u.ShareError = r.errorSum / float64(r.shortSamples)
	}
	return u
}

// claim is one team's input and result in the division of the total usage; all
// amounts are dominant shares.
type claim struct {
	used     float64
	demand   float64
	weight   float64
	entitled float64
}

// allocateMaxMin divides amount among the claims by weight with weighted max-min
// fairness: no claim gets more than its demand.
func allocateMaxMin(claims []claim, amount float64) {
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
