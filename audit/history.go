package audit

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// history holds the configurations of a run, oldest first.
type history []ConfigChange

func newHistory(changes []ConfigChange) history {
	h := slices.Clone(changes)
	slices.SortStableFunc(h, func(a, b ConfigChange) int { return a.Time.Compare(b.Time) })
	return h
}

// inForce returns the configurations that were in force at any time of the grace
// period that ends at at. It is empty when the first one is later than at.
func (h history) inForce(at time.Time, grace time.Duration) []*model.Config {
	from := at.Add(-grace)
	var configs []*model.Config
	for i, change := range h {
		if change.Time.After(at) {
			break
		}
		replaced := i+1 < len(h) && !h[i+1].Time.After(from)
		if !replaced {
			configs = append(configs, change.Config)
		}
	}
	return configs
}

// heldThroughout reports whether rule is true of every configuration in force in
// the grace period that ends at at, and the whole period had a configuration.
func (h history) heldThroughout(at time.Time, grace time.Duration, rule func(*model.Config) bool) bool {
	if len(h) == 0 || h[0].Time.After(at.Add(-grace)) {
		return false
	}
	for _, config := range h.inForce(at, grace) {
		if !rule(config) {
			return false
		}
	}
	return true
}

// limit returns the largest limit of the team in the grace period that ends at
// at; ok is false when no configuration of that period has the team.
func (h history) limit(team model.TeamName, at time.Time, grace time.Duration) (limit model.Resources, ok bool) {
	for _, config := range h.inForce(at, grace) {
		if t, found := config.Team(team); found {
			limit, ok = limit.Max(t.Limit), true
		}
	}
	return limit, ok
}

// notRepeatable reports whether work of the class is not repeatable at the given
// time. It returns false when the configuration does not have the class.
func (h history) notRepeatable(class model.ClassName, at time.Time) bool {
	for _, config := range h.inForce(at, 0) {
		if c, found := config.Class(class); found {
			return !c.Repeatable
		}
	}
	return false
}
