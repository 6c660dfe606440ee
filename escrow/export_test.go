package escrow

import "github.com/hornbeamworks/hornbeam/policy"

// Fair is fair for tests.
var Fair = fair

// Step hands standings to the duty's handler, as its thread would.
func (e *Escrow) Step(batches ...[]policy.Standing) {
	var batch []standings
	for _, teams := range batches {
		batch = append(batch, standings{teams: teams})
	}
	e.handle(batch)
}

// Period is the time between two looks at the ledger.
const Period = period
