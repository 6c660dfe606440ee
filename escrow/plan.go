package escrow

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// hysteresisDivisor sets the threshold for small changes: a changed figure alone
// causes a write only when it changed by more than limit/hysteresisDivisor.
const hysteresisDivisor = 8

// accountPlanner plans one shard's changes to the account of one team. It uses no
// clock and does no I/O.
type accountPlanner struct {
	shard model.ShardID
	// limit is the team's limit; zero for a team that was removed.
	limit model.Resources
	// shards are all shards of the configuration. inService holds whether a
	// shard's failure domain is in service.
	shards    []model.ShardID
	inService map[model.ShardID]bool
	// upToDate is false while another shard uses a newer configuration, whose
	// limits this process has not received.
	upToDate bool
	// standing is the last one from the shard's scheduler; hasStanding is false
	// until the first.
	standing    policy.TeamUsage
	hasStanding bool
	// acknowledged is set when the standing was made under the part that was last
	// sent to the scheduler.
	acknowledged bool
}

// decision is the result of planning one account.
type decision struct {
	// use is the part for the scheduler to use now; it is never above the part
	// in the ledger.
	use model.Resources
	// write is set when the changed account should be written.
	write bool
}

// decide updates the account to the content to be written, and returns the part
// for the scheduler to use until it has been.
func (p *accountPlanner) decide(entry *Account) decision {
	seeded := p.seed(entry)
	own := entry.ensureHolding(p.shard)
	before := *own
	if !p.hasStanding {
		return decision{use: before.Part, write: seeded}
	}
	want := p.want()
	use, part := before.Part, before.Part
	index := slices.IndexFunc(entry.Holdings, func(h Holding) bool { return h.Shard == p.shard })
	sum := entry.Parts()
	for r := range part {
		targets := p.targets(entry, r, index, want[r])
		target := targets[index]
		use[r] = p.usablePart(entry, r, index, before.Part[r], sum[r], targets)
		if use[r] < before.Part[r] {
			part[r] = p.releasedPart(r, before.Part[r], use[r])
			continue
		}
		part[r] += p.claimUnassigned(r, before.Part[r], want[r], target, sum[r])
	}
	own.Part = part
	write := seeded || part != before.Part || p.worthPublishing(before, part, want)
	if write {
		own.Used, own.Want = p.standing.Running, want
	}
	return decision{use: use, write: write}
}

// seed splits the limit of a new team equally among the shards in service, and
// reports whether it did.
func (p *accountPlanner) seed(entry *Account) bool {
	if len(entry.Holdings) > 0 || p.limit.IsZero() || !p.upToDate {
		return false
	}
	for _, shard := range p.shards {
		entry.ensureHolding(shard)
	}
	inService := p.holdingsInService(entry)
	for r, amount := range p.limit {
		parts := fairParts(amount, make([]int64, len(entry.Holdings)), inService)
		for i := range entry.Holdings {
			entry.Holdings[i].Part[r] = parts[i]
		}
	}
	return true
}

// want returns the shard's demand, capped at the team's limit.
func (p *accountPlanner) want() model.Resources {
	want := p.standing.Running.Add(p.standing.Queued)
	for r := range want {
		want[r] = min(want[r], p.limit[r])
	}
	return want
}

// targets returns the fair parts of resource r, given the wants of all shards.
// own is the index of this shard and want its current demand.
func (p *accountPlanner) targets(entry *Account, r, own int, want int64) []int64 {
	wants := make([]int64, len(entry.Holdings))
	for i, h := range entry.Holdings {
		wants[i] = h.Want[r]
	}
	wants[own] = want
	return fairParts(p.limit[r], wants, p.holdingsInService(entry))
}

// holdingsInService returns for each holding whether its shard is in service.
func (p *accountPlanner) holdingsInService(entry *Account) []bool {
	inService := make([]bool, len(entry.Holdings))
	for i, h := range entry.Holdings {
		inService[i] = p.inService[h.Shard]
	}
	return inService
}

// usablePart returns the part to use now. It is below part when the limit was
// lowered, or when another shard could use the excess over the target. A small
// excess is kept, unless another shard is starved.
func (p *accountPlanner) usablePart(entry *Account, r, own int, part, sum int64, targets []int64) int64 {
	if !p.upToDate {
		return part
	}
	if over := sum - p.limit[r]; over > 0 {
		return max(part-over, 0)
	}
	excess := part - targets[own]
	significant := excess > p.limit[r]/(hysteresisDivisor*int64(len(entry.Holdings)))
	if excess > 0 && (significant && p.othersBelowDemand(entry, r) || p.othersStarved(entry, r, targets)) {
		return targets[own]
	}
	return part
}

// othersStarved reports whether another shard's demand exceeds its part and that
// part is less than half of its target.
func (p *accountPlanner) othersStarved(entry *Account, r int, targets []int64) bool {
	for i, h := range entry.Holdings {
		if h.Shard != p.shard && h.Want[r] > h.Part[r] && 2*h.Part[r] < targets[i] {
			return true
		}
	}
	return false
}

// othersBelowDemand reports whether the demand of another shard in service
// exceeds its part.
func (p *accountPlanner) othersBelowDemand(entry *Account, r int) bool {
	for _, h := range entry.Holdings {
		if h.Shard != p.shard && p.inService[h.Shard] && h.Want[r] > h.Part[r] {
			return true
		}
	}
	return false
}

// releasedPart returns the part to write to the ledger when the part in use is
// lowered. It stays at part until the scheduler has acknowledged the lower one;
// then it is use, or what is still running if that is more.
func (p *accountPlanner) releasedPart(r int, part, use int64) int64 {
	if !p.acknowledged || p.standing.Part[r] > use {
		return part
	}
	return min(part, max(use, p.standing.Running[r]))
}

// claimUnassigned returns the amount that the shard claims of the unassigned
// quota: up to the target, when its demand exceeds its part or the part is far
// below the target.
func (p *accountPlanner) claimUnassigned(r int, part, want, target, sum int64) int64 {
	unassigned := p.limit[r] - sum
	farBelow := target-part > p.limit[r]/hysteresisDivisor
	if !p.upToDate || unassigned <= 0 || target <= part || (want <= part && !farBelow) {
		return 0
	}
	return min(target-part, unassigned)
}

// worthPublishing reports whether the shard's figures should be written for the
// other shards to read: its demand began or ceased to exceed its part, or a
// figure changed by more than the hysteresis threshold.
func (p *accountPlanner) worthPublishing(before Holding, part, want model.Resources) bool {
	for r, limit := range p.limit {
		if (want[r] > part[r]) != (before.Want[r] > before.Part[r]) {
			return true
		}
		if absDiff(want[r], before.Want[r]) > limit/hysteresisDivisor {
			return true
		}
		if absDiff(p.standing.Running[r], before.Used[r]) > limit/hysteresisDivisor {
			return true
		}
	}
	return false
}

func absDiff(a, b int64) int64 { return max(a-b, b-a) }
