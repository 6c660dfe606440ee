package cell

import "time"

// Stats counts preemptions, throttled attempts and quarantines.
type Stats struct {
	// Preempted is the number of attempts that were preempted.
	Preempted int
	// Lost is the total run time lost to preemptions.
	Lost time.Duration
	// Throttled is the number of times that an attempt was throttled.
	Throttled int
	// Quarantined is the number of quarantines imposed; an endpoint may be
	// counted more than once.
	Quarantined int
}

// Stats returns the counts since the scheduler was created.
func (c *Cell) Stats() Stats { return c.stats }
