// Package quarantine judges endpoints that fail what they start. An endpoint
// is blamed for a failure only as far as the same work succeeds elsewhere and
// once for each request, so that one team's failing job is not held against
// the endpoints it runs on.
package quarantine

import "github.com/hornbeamworks/hornbeam/model"

// The bounds of the judgement.
const (
	// fade is the weight that earlier ends keep with each new one.
	fade = 0.9
	// minBlame is the least blame for a quarantine.
	minBlame = 2.5
	// minRate is the least share of blame among an endpoint's ends.
	minRate = 0.5
	// fleetFactor is how far the rate must be above the fleet's.
	fleetFactor = 3
	// quarantinedAtMost is the largest part of the endpoints in quarantine.
	quarantinedAtMost = 0.2
	// usualFailure is how often one team's work may fail for its failures
	// alone to be held against an endpoint.
	usualFailure = 0.5
)

// End is the end of an attempt.
type End struct {
	// Request is the request of the attempt.
	Request model.RequestID
	// Team is the team of the request.
	Team model.TeamName
	// Expected is how often such work fails anywhere, from 0 to 1.
	Expected float64
}

// Health counts the recent ends of attempts at one endpoint.
type Health struct {
	ends     float64
	blame    float64
	request  model.RequestID
	team     model.TeamName
	teams    int
	expected float64
}

// Observe adds an end. A request that has just been blamed is passed over.
func (h *Health) Observe(failed bool, end End) {
	if failed && h.request == end.Request {
		return
	}
	h.ends = fade*h.ends + 1
	h.blame *= fade
	if !failed {
		return
	}
	h.blame += 1 - end.Expected
	h.request, h.expected = end.Request, end.Expected
	if h.team != end.Team {
		h.team = end.Team
		h.teams++
	}
}

// Rate returns the share of blame among the ends.
func (h *Health) Rate() float64 {
	if h.ends == 0 {
		return 0
	}
	return h.blame / h.ends
}

// Suspect reports whether the endpoint is to be compared with the fleet.
func (h *Health) Suspect() bool {
	if h.blame < minBlame || h.Rate() < minRate {
		return false
	}
	return h.teams > 1 || h.expected < usualFailure
}

// Sick reports whether a suspect is to be quarantined; fleet is the mean rate
// of the other endpoints.
func (h *Health) Sick(fleet float64) bool {
	return h.Rate() >= fleetFactor*fleet
}

// Allowed reports whether one more endpoint may be quarantined; a fleet may
// always lose one.
func Allowed(quarantined, endpoints int) bool {
	return quarantined == 0 || float64(quarantined+1) <= quarantinedAtMost*float64(endpoints)
}
