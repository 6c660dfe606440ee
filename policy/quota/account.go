// Package quota computes how much of its share of the cell a team uses, by
// dominant-resource fairness (Ghodsi et al., NSDI 2011) with exponentially
// decayed past usage. It does not enforce limits.
package quota

import (
	"math"
	"time"
)

// pastUsageWeight is the weight of past usage; current usage has the rest.
const pastUsageWeight = 0.25

// minShare is the minimum share, so that teams without a share are served last
// instead of never.
const minShare = 0.001

// Account holds the share and the usage of one team. The zero value has the
// minimum share.
type Account struct {
	share     float64
	usage     float64
	pastUsage float64
	updated   time.Time
}

// SetShare sets the team's share of the cell, from 0 to 1.
func (a *Account) SetShare(share float64) { a.share = max(share, minShare) }

// Share returns the team's share of the cell, at least minShare.
func (a *Account) Share() float64 { return max(a.share, minShare) }

// SetUsage sets the dominant share of the cell that the team currently uses.
func (a *Account) SetUsage(share float64) { a.usage = share }

// Usage returns the dominant share of the cell that the team currently uses.
func (a *Account) Usage() float64 { return a.usage }

// Decay moves the past usage towards the current usage for the time since the
// last call. The first call only sets the time.
func (a *Account) Decay(now time.Time, halfLife time.Duration) {
	if a.updated.IsZero() {
		a.updated = now
		return
	}
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	retained := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	a.pastUsage = retained*a.pastUsage + (1-retained)*a.usage
	a.updated = now
}

// Ratio returns the weighted usage divided by the share. The team with the
// lowest ratio is served first.
func (a *Account) Ratio() float64 {
	return ((1-pastUsageWeight)*a.usage + pastUsageWeight*a.pastUsage) / a.Share()
}
