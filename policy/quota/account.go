// Package quota keeps the account of a team: what share of the cell it is
// entitled to and what it uses, by dominant-resource fairness (Ghodsi et al.,
// NSDI 2011) with an exponentially decayed memory of past use.
package quota

import (
	"math"
	"time"
)

// pastWeight is the weight of past use beside present use.
const pastWeight = 0.25

// minEntitled is the least entitlement, so that teams without a share are
// served last and not never.
const minEntitled = 0.001

// Account is the account of one team. The zero value has no share.
type Account struct {
	entitled float64
	present  float64
	past     float64
	updated  time.Time
}

// Entitle sets the share of the cell, from 0 to 1.
func (a *Account) Entitle(share float64) { a.entitled = max(share, minEntitled) }

// Entitled returns the share of the cell that the team is entitled to.
func (a *Account) Entitled() float64 { return max(a.entitled, minEntitled) }

// Use sets the dominant share that the team uses at present.
func (a *Account) Use(share float64) { a.present = share }

// Present returns the dominant share that the team uses at present.
func (a *Account) Present() float64 { return a.present }

// Decay moves past use towards present use; its half-life is given.
func (a *Account) Decay(now time.Time, halfLife time.Duration) {
	if a.updated.IsZero() {
		a.updated = now
		return
	}
	passed := now.Sub(a.updated)
	if passed <= 0 {
		return
	}
	kept := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	a.past = kept*a.past + (1-kept)*a.present
	a.updated = now
}

// Ratio returns the use by the entitlement: the team with the least is served
// first.
func (a *Account) Ratio() float64 {
	return ((1-pastWeight)*a.present + pastWeight*a.past) / a.Entitled()
}
