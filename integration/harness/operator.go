package harness

import (
	"net/http"

	operateapi "github.com/hornbeamworks/hornbeam/operate/httpapi"
)

// OperatorKey is the id of the operator's key in the initial configuration.
const OperatorKey = "operator"

// Operator returns an operator's client of the domain's first gate.
func (c *Cluster) Operator(at int) *operateapi.Client {
	base := "http://" + c.Domains[at].gateAddresses[0]
	return operateapi.NewClient([]string{base}, secret(OperatorKey), http.DefaultClient)
}

// KeyOf returns the id of the team's key.
func KeyOf(team string) string { return "key-" + team }
