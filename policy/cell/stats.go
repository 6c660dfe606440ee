package cell

import "time"

// Stats counts what the scheduler has done to running work and endpoints.
type Stats struct {
	// Preempted is the number of attempts halted to make room.
	Preempted int
	// Lost is the run time that halting them has thrown away.
	Lost time.Duration
	// Throttled is the number of attempts throttled.
	Throttled int
	// Quarantined is the number of times that an endpoint was quarantined.
	Quarantined int
}

// Stats returns the counts since the start.
func (c *Cell) Stats() Stats { return c.stats }
