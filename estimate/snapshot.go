package estimate

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot is the state of a Learner in a form that can be encoded.
type Snapshot struct {
	// Entries are in the order of their last samples.
	Entries []Entry `json:"entries"`
}

// Entry is what has been learned about one key. The names are short, since a row holds up
// to 128 entries.
type Entry struct {
	Queue  string  `json:"q"`
	Team   string  `json:"t,omitempty"`
	Weight float64 `json:"w"`
	MeanX  float64 `json:"x"`
	MeanY  float64 `json:"y"`
	XX     float64 `json:"xx"`
	XY     float64 `json:"xy"`
	YY     float64 `json:"yy"`
}

const (
	// maxDeviation bounds the distance of a sample from the mean: that of minTime from
	// maxTime is 24.2.
	maxDeviation = 25
	// maxSum bounds a sum of products, by the total weight of the samples.
	maxSum = window * maxDeviation * maxDeviation
	// rounding bounds the difference between a value and its rounded one.
	rounding = 1e-6
)

// Snapshot returns the state. Equal states have equal snapshots.
func (l *Learner) Snapshot() Snapshot {
	keys := make([]Key, 0, len(l.entries))
	for key := range l.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(l.entries[a].sequence, l.entries[b].sequence) })
	s := Snapshot{Entries: make([]Entry, 0, len(keys))}
	for _, key := range keys {
		r := l.entries[key]
		s.Entries = append(s.Entries, Entry{
			Queue: key.Queue, Team: key.Team, Weight: round(r.weight),
			MeanX: round(r.meanX), MeanY: round(r.meanY), XX: round(r.sxx), XY: round(r.sxy), YY: round(r.syy),
		})
	}
	return s
}

// round keeps six decimal places, so that an entry takes some 100 bytes.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// Restore replaces the state by that of a snapshot. Entries with values out of range are
// left out; it returns their number.
func (l *Learner) Restore(s Snapshot) (rejected int) {
	clear(l.entries)
	for _, e := range s.Entries {
		key := Key{Queue: e.Queue, Team: e.Team}
		if !e.valid() || l.entries[key] != nil {
			rejected++
			continue
		}
		r := l.entry(key)
		r.weight, r.meanX, r.meanY, r.sxx, r.sxy, r.syy = e.Weight, e.MeanX, e.MeanY, e.XX, e.XY, e.YY
	}
	return rejected
}

// valid reports whether samples within the limits can have led to the entry.
func (e Entry) valid() bool {
	within := func(v, low, high float64) bool { return v >= low && v <= high } // False for NaN.
	return Key{Queue: e.Queue, Team: e.Team}.usable() &&
		within(e.Weight, 1, window) &&
		within(e.MeanX, logSeconds(minTime), logSeconds(maxTime)) &&
		within(e.MeanY, logSeconds(minTime), logSeconds(maxTime)) &&
		within(e.XX, 0, maxSum) && within(e.YY, 0, maxSum) &&
		within(math.Abs(e.XY), 0, math.Sqrt((e.XX+rounding)*(e.YY+rounding))+rounding)
}
