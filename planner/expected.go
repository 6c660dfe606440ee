package planner

import "time"

// expected returns the expected run time of the step's tasks and its standard deviation, which
// is 0 if it is not known.
func (p *Planner) expected(s *step) (runTime, spread time.Duration) { return s.Estimate, 0 }
