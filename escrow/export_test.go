package escrow

import "github.com/hornbeamworks/hornbeam/policy"

// FairParts exports fairParts for tests.
var FairParts = fairParts

// Step calls the duty's handler with the standings, as its thread would.
func (e *Escrow) Step(batches ...[]policy.TeamUsage) {
	var batch []standings
	for _, teams := range batches {
		batch = append(batch, standings{teams: teams})
	}
	e.handle(batch)
}

// PollPeriod exports pollPeriod for tests.
const PollPeriod = pollPeriod
