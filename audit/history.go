package audit

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// history is the configurations in force over time, oldest first.
type history []ConfigChange

func newHistory(changes []ConfigChange) history {
	h := slices.Clone(changes)
	slices.SortStableFunc(h, func(a, b ConfigChange) int { return a.Time.Compare(b.Time) })
	return h
}

// during returns the configurations that were in force at any time of the
// grace before at. It is empty when the first one came later.
func (h history) during(at time.Time, grace time.Duration) []*model.Config {
	from := at.Add(-grace)
	var found []*model.Config
	for i, change := range h {
		if change.Time.After(at) {
			break
		}
		replaced := i+1 < len(h) && !h[i+1].Time.After(from)
		if !replaced {
			found = append(found, change.Config)
		}
	}
	return found
}

// forbids reports whether rule held in every configuration of the grace before
// at, and there was one for the whole grace.
func (h history) forbids(at time.Time, grace time.Duration, rule func(*model.Config) bool) bool {
	if len(h) == 0 || h[0].Time.After(at.Add(-grace)) {
		return false
	}
	for _, config := range h.during(at, grace) {
		if !rule(config) {
			return false
		}
	}
	return true
}

// limit returns the largest limit of the team in the grace before at; ok is
// false when no configuration names the team.
func (h history) limit(team model.TeamName, at time.Time, grace time.Duration) (limit model.Resources, ok bool) {
	for _, config := range h.during(at, grace) {
		if t, found := config.Team(team); found {
			limit, ok = limit.Max(t.Limit), true
		}
	}
	return limit, ok
}

// once reports whether work of the class is not repeatable.
func (h history) once(class model.ClassName, at time.Time) bool {
	for _, config := range h.during(at, 0) {
		if c, found := config.Class(class); found {
			return !c.Repeatable
		}
	}
	return false
}
