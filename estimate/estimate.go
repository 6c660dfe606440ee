// Package estimate learns how run times depend on the estimates that callers submit: for
// each queue, and for each team with enough samples, a regression of log(run time) on
// log(estimate) with exponential forgetting. A Learner belongs to one duty, so that it
// needs no locks.
package estimate

import (
	"math"
	"time"
)

const (
	// window is the number of samples after which older ones have lost their weight:
	// each new sample scales the weight of the previous ones by 1 - 1/window.
	window = 200
	decay  = 1 - 1.0/window
	// minSamples is the number of samples below which the estimate itself is returned.
	// With 8, the mean of an error of a factor of 2.5 is known to within a factor of 1.4.
	minSamples = 8
	// minTeamSamples is the weight from which a team's own samples are used. A regression on
	// fewer would be less certain than that of the whole queue.
	minTeamSamples = 32
	// priorSamples and priorVariance define the prior belief that run times are proportional
	// to the estimates. It decides where the estimates of a queue hardly differ, which says
	// nothing about the slope; the variance is that of a factor of two.
	priorSamples  = 4
	priorVariance = math.Ln2 * math.Ln2
	// maxSlope bounds the slope: an extrapolation of a steep one is not plausible.
	maxSlope = 2
	// maxQueues and maxTeams bound the entries for queues and for teams of queues. The entry
	// that was observed least recently is dropped for a new one.
	maxQueues = 64
	maxTeams  = 64
	// maxNameLength bounds the names in a key, so that the snapshot fits into a row.
	maxNameLength = 128
	// minTime and maxTime bound estimates and run times. Values outside are clamped.
	minTime = time.Millisecond
	maxTime = 365 * 24 * time.Hour
)

// Key identifies the steps that are learned from together. Team is empty for all teams of
// the queue.
type Key struct {
	Queue, Team string
}

func (k Key) usable() bool {
	return k.Queue != "" && len(k.Queue) <= maxNameLength && len(k.Team) <= maxNameLength
}

// Learner holds what has been learned.
type Learner struct {
	entries map[Key]*regression
	// observations counts the accepted samples of this Learner.
	observations uint64
	// sequence orders the entries by the time of their last samples.
	sequence uint64
}

// New returns a Learner without samples.
func New() *Learner { return &Learner{entries: map[Key]*regression{}} }

// Observe adds the run time of a step with the estimate. It counts for the team and for its
// queue. Samples without an estimate or a run time are ignored.
func (l *Learner) Observe(key Key, estimate, runTime time.Duration) {
	if !key.usable() || estimate <= 0 || runTime <= 0 {
		return
	}
	x, y := logSeconds(estimate), logSeconds(runTime)
	l.observations++
	l.entry(Key{Queue: key.Queue}).add(x, y)
	if key.Team != "" {
		l.entry(key).add(x, y)
	}
}

// Observations returns the number of samples since the Learner was created. It shows
// whether the snapshot has changed.
func (l *Learner) Observations() uint64 { return l.observations }

// Predict returns the median run time that is expected with the estimate, and the spread:
// one run time in six is longer than both together. Without enough samples it returns the
// estimate and 0.
func (l *Learner) Predict(key Key, estimate time.Duration) (expected, spread time.Duration) {
	r := l.find(key)
	if r == nil || estimate <= 0 {
		return estimate, 0
	}
	slope := r.slope()
	y := r.meanY + slope*(logSeconds(estimate)-r.meanX)
	expected = fromLogSeconds(y)
	return expected, fromLogSeconds(y+r.deviation()) - expected
}

// Summary describes what has been learned about a key.
type Summary struct {
	// Slope is 1 if run times are proportional to estimates and 0 if they do not depend on
	// them.
	Slope float64
	// Typical is the median run time. Spread is the factor by which one run time in six
	// exceeds its prediction.
	Typical time.Duration
	Spread  float64
	// Samples is the weight of the samples, at most 200.
	Samples float64
}

// Summary returns what has been learned about the key; false if there are no samples.
func (l *Learner) Summary(key Key) (Summary, bool) {
	r := l.entries[key]
	if r == nil {
		return Summary{}, false
	}
	return Summary{Slope: r.slope(), Typical: fromLogSeconds(r.meanY), Spread: math.Exp(r.deviation()), Samples: r.weight}, true
}

// find returns the regression for the key: that of the team if it has enough samples, or
// that of the queue; nil if neither has.
func (l *Learner) find(key Key) *regression {
	if r := l.entries[key]; key.Team != "" && r != nil && r.weight >= minTeamSamples {
		return r
	}
	if r := l.entries[Key{Queue: key.Queue}]; r != nil && r.weight >= minSamples-weightTolerance {
		return r
	}
	return nil
}

// entry returns the regression for the key, creating it if there is none.
func (l *Learner) entry(key Key) *regression {
	r := l.entries[key]
	if r == nil {
		l.makeRoom(key.Team != "")
		r = &regression{}
		l.entries[key] = r
	}
	l.sequence++
	r.sequence = l.sequence
	return r
}

// makeRoom drops the entry that was observed least recently if there are as many entries
// for queues, or for teams, as allowed.
func (l *Learner) makeRoom(team bool) {
	limit := maxQueues
	if team {
		limit = maxTeams
	}
	n, oldest := 0, Key{}
	for key, r := range l.entries {
		if (key.Team != "") != team {
			continue
		}
		n++
		if first := l.entries[oldest]; first == nil || r.sequence < first.sequence {
			oldest = key
		}
	}
	if n >= limit {
		delete(l.entries, oldest)
	}
}

func logSeconds(d time.Duration) float64 { return math.Log(min(max(d, minTime), maxTime).Seconds()) }

func fromLogSeconds(y float64) time.Duration {
	y = min(max(y, logSeconds(minTime)), logSeconds(maxTime))
	return time.Duration(math.Exp(y) * float64(time.Second))
}
