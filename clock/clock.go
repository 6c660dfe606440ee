// Package clock is the process's view of time, so that tests set their own.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time. Now carries a monotonic reading, which lease
// arithmetic uses; the wall clock is for people.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when told to.
type Manual struct {
	// mu guards now: tests advance the clock while duties read it.
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time the clock stands at.
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
