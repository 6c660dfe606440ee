package planner

// Policy selects the optional decisions of a planner. Each is off by default.
type Policy struct {
	// LearnedEstimates corrects callers' estimates by the run times of ended tasks.
	LearnedEstimates bool
	// ReadyGangs reserves capacity for a gang only if its whole placement can be used.
	ReadyGangs bool
	// ShedByCost delays and refuses the work that costs callers least.
	ShedByCost bool
	// Relocation moves tasks off endpoints that have turned slow.
	Relocation bool
}

// SetPolicy selects the optional decisions. It is called before jobs are added.
func (p *Planner) SetPolicy(policy Policy) { p.policy = policy }
