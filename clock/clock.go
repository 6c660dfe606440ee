// Package clock abstracts the current time, so that tests can control it. It has
// no timers.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Lease arithmetic uses the monotonic reading of
// Now; the wall-clock reading is for display.
type Clock interface {
	Now() time.Time
}

// System is the clock of time.Now.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// Manual is a clock for tests that changes only by Advance.
type Manual struct {
	// mu guards now: tests advance the clock while duties read it.
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that the clock is set to.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
