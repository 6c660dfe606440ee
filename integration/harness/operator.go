package harness

import (
	"net/http"

	operateapi "github.com/hornbeamworks/hornbeam/operate/httpapi"
)

// OperatorKey is the id of the operator's key in the first configuration.
const OperatorKey = "operator"

// Operator returns an operator who uses the first gate of the domain.
func (c *Cluster) Operator(at int) *operateapi.Client {
	base := "http://" + c.Domains[at].fronts[0]
	return operateapi.NewClient([]string{base}, secret(OperatorKey), http.DefaultClient)
}

// KeyOf returns the id of the team's key.
func KeyOf(team string) string { return "key-" + team }
