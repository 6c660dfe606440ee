// Package quarantine detects endpoints on which attempts fail more often than
// elsewhere. A failure counts against the endpoint only as far as such work
// succeeds on other endpoints, and a request that fails repeatedly counts once,
// so that one team's failing job does not cause the quarantine of the endpoints
// it runs on.
package quarantine

import "github.com/hornbeamworks/hornbeam/model"

// The thresholds for a quarantine.
const (
	// decay is the factor applied to the counts of earlier ends at each new
	// end.
	decay = 0.9
	// minFailures is the minimum weighted number of failures.
	minFailures = 2.5
	// minFailureRate is the minimum share of weighted failures among the
	// endpoint's ends.
	minFailureRate = 0.5
	// minFleetRatio is the minimum ratio of the endpoint's failure rate to the
	// mean rate of the other endpoints.
	minFleetRatio = 3
	// maxQuarantinedShare is the maximum share of the endpoints that may be in
	// quarantine.
	maxQuarantinedShare = 0.2
	// highFailureRate is the expected failure rate from which the failures of a
	// single team are no reason for a quarantine.
	highFailureRate = 0.5
)

// End describes the end of an attempt.
type End struct {
	Request model.RequestID
	Team    model.TeamName
	// Expected is the failure rate of such work on all endpoints, from 0 to 1.
	Expected float64
}

// Health holds the exponentially decayed counts of the ends and failures of
// attempts on one endpoint. The zero value is an endpoint without ends.
type Health struct {
	ends         float64
	failures     float64
	lastRequest  model.RequestID
	lastTeam     model.TeamName
	teamChanges  int
	lastExpected float64
}

// Observe adds an end. A failure is ignored when the last counted failure is of
// the same request.
func (h *Health) Observe(failed bool, end End) {
	if failed && h.lastRequest == end.Request {
		return
	}
	h.ends = decay*h.ends + 1
	h.failures *= decay
	if !failed {
		return
	}
	h.failures += 1 - end.Expected
	h.lastRequest, h.lastExpected = end.Request, end.Expected
	if h.lastTeam != end.Team {
		h.lastTeam = end.Team
		h.teamChanges++
	}
}

// Rate returns the share of weighted failures among the ends, 0 when there are
// none.
func (h *Health) Rate() float64 {
	if h.ends == 0 {
		return 0
	}
	return h.failures / h.ends
}

// Suspect reports whether the endpoint has failed often enough to be compared
// with the other endpoints.
func (h *Health) Suspect() bool {
	if h.failures < minFailures || h.Rate() < minFailureRate {
		return false
	}
	return h.teamChanges > 1 || h.lastExpected < highFailureRate
}

// Unhealthy reports whether a suspect endpoint is unhealthy and should be
// quarantined; fleetRate is the mean rate of the other endpoints.
func (h *Health) Unhealthy(fleetRate float64) bool {
	return h.Rate() >= minFleetRatio*fleetRate
}

// Allowed reports whether another endpoint may be quarantined. A single
// endpoint may be quarantined in a fleet of any size.
func Allowed(quarantined, endpoints int) bool {
	return quarantined == 0 || float64(quarantined+1) <= maxQuarantinedShare*float64(endpoints)
}
