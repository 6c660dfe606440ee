package escrow

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// hysteresis is the fraction of a limit, as its divisor, by which a figure must
// change before it alone is a reason to write.
const hysteresis = 8

// account plans the account of one team for one shard. It has no clock and no
// transport.
type account struct {
	shard model.ShardID
	// limit is the team's limit; zero for a team that is gone.
	limit model.Resources
	// shards are all shards of the configuration, and whether their failure
	// domain is in service.
	shards    []model.ShardID
	inService map[model.ShardID]bool
	// upToDate is false while another shard acts by a newer configuration, whose
	// limits are not known here.
	upToDate bool
	// standing is what the shard's scheduler last said; known is false when it
	// has said nothing yet.
	standing policy.Standing
	known    bool
	// acknowledged says that the standing was made under the part that the
	// scheduler was last told.
	acknowledged bool
}

// decision is what follows for one account.
type decision struct {
	// use is the part that the scheduler is to use now; it is never above the
	// part in the ledger.
	use model.Resources
	// write says that the account was changed and is worth a write.
	write bool
}

// decide changes the ledger's account to what is to be written, and returns
// which part the scheduler is to use meanwhile.
func (a *account) decide(entry *Account) decision {
	seeded := a.seed(entry)
	own := entry.open(a.shard)
	before := *own
	if !a.known {
		return decision{use: before.Part, write: seeded}
	}
	want := a.want()
	use, part := before.Part, before.Part
	index := slices.IndexFunc(entry.Holdings, func(h Holding) bool { return h.Shard == a.shard })
	sum := entry.Parts()
	for r := range part {
		targets := a.targets(entry, r, index, want[r])
		target := targets[index]
		use[r] = a.lower(entry, r, index, before.Part[r], sum[r], targets)
		if use[r] < before.Part[r] {
			part[r] = a.released(r, before.Part[r], use[r])
			continue
		}
		part[r] += a.raise(r, before.Part[r], want[r], target, sum[r])
	}
	own.Part = part
	write := seeded || part != before.Part || a.worthTelling(before, part, want)
	if write {
		own.Used, own.Want = a.standing.Running, want
	}
	return decision{use: use, write: write}
}

// seed gives every shard an equal part of a team that is new.
func (a *account) seed(entry *Account) bool {
	if len(entry.Holdings) > 0 || a.limit.IsZero() || !a.upToDate {
		return false
	}
	for _, shard := range a.shards {
		entry.open(shard)
	}
	inService := a.services(entry)
	for r, amount := range a.limit {
		parts := fair(amount, make([]int64, len(entry.Holdings)), inService)
		for i := range entry.Holdings {
			entry.Holdings[i].Part[r] = parts[i]
		}
	}
	return true
}

// want is what the shard could use, at most the limit.
func (a *account) want() model.Resources {
	want := a.standing.Running.Add(a.standing.Queued)
	for r := range want {
		want[r] = min(want[r], a.limit[r])
	}
	return want
}

// targets are the parts of a resource that are fair by the wants of all shards;
// own is the index of this shard and want what it wants now.
func (a *account) targets(entry *Account, r, own int, want int64) []int64 {
	wants := make([]int64, len(entry.Holdings))
	for i, h := range entry.Holdings {
		wants[i] = h.Want[r]
	}
	wants[own] = want
	return fair(a.limit[r], wants, a.services(entry))
}

func (a *account) services(entry *Account) []bool {
	inService := make([]bool, len(entry.Holdings))
	for i, h := range entry.Holdings {
		inService[i] = a.inService[h.Shard]
	}
	return inService
}

// lower returns the part to be used now: less than part when the limit was
// lowered, or when another shard could use what is above the target. What is
// above it by little is kept, unless another shard starves.
func (a *account) lower(entry *Account, r, own int, part, sum int64, targets []int64) int64 {
	if !a.upToDate {
		return part
	}
	if over := sum - a.limit[r]; over > 0 {
		return max(part-over, 0)
	}
	excess := part - targets[own]
	much := excess > a.limit[r]/(hysteresis*int64(len(entry.Holdings)))
	if excess > 0 && (much && a.hungryOthers(entry, r) || a.starvingOthers(entry, r, targets)) {
		return targets[own]
	}
	return part
}

// starvingOthers reports whether another shard wants more than its part and has
// less than half of what is fair.
func (a *account) starvingOthers(entry *Account, r int, targets []int64) bool {
	for i, h := range entry.Holdings {
		if h.Shard != a.shard && h.Want[r] > h.Part[r] && 2*h.Part[r] < targets[i] {
			return true
		}
	}
	return false
}

// hungryOthers reports whether another shard could use more than its part.
func (a *account) hungryOthers(entry *Account, r int) bool {
	for _, h := range entry.Holdings {
		if h.Shard != a.shard && a.inService[h.Shard] && h.Want[r] > h.Part[r] {
			return true
		}
	}
	return false
}

// released is the part that the ledger may show: the scheduler uses at most use
// already, and what it still runs above that is kept.
func (a *account) released(r int, part, use int64) int64 {
	if !a.acknowledged || a.standing.Part[r] > use {
		return part
	}
	return min(part, max(use, a.standing.Running[r]))
}

// raise returns what the shard takes of the unassigned rest.
func (a *account) raise(r int, part, want, target, sum int64) int64 {
	rest := a.limit[r] - sum
	wide := target-part > a.limit[r]/hysteresis
	if !a.upToDate || rest <= 0 || target <= part || (want <= part && !wide) {
		return 0
	}
	return min(target-part, rest)
}

// worthTelling reports whether the others should hear of the shard's figures:
// it became hungry or is no longer, or a figure moved by much.
func (a *account) worthTelling(before Holding, part, want model.Resources) bool {
	for r, limit := range a.limit {
		if (want[r] > part[r]) != (before.Want[r] > before.Part[r]) {
			return true
		}
		if distance(want[r], before.Want[r]) > limit/hysteresis {
			return true
		}
		if distance(a.standing.Running[r], before.Used[r]) > limit/hysteresis {
			return true
		}
	}
	return false
}

func distance(a, b int64) int64 { return max(a-b, b-a) }
