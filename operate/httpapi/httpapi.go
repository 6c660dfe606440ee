// Package httpapi is the HTTP front end of package operate, with JSON bodies, and
// its client.
//
//	GET    /v1/operate/config                           the configuration in force
//	GET    /v1/operate/audit?after=VERSION&limit=N      the audit log of changes
//	GET    /v1/operate/force?version=VERSION            the rollout of a version
//	GET    /v1/operate/limits                           configured and enforced limits of the teams
//	PUT    /v1/operate/classes/{name}                   sets a class
//	DELETE /v1/operate/classes/{name}                   removes it
//	PUT    /v1/operate/teams/{name}                     sets a team's share and limit
//	DELETE /v1/operate/teams/{name}                     removes it
//	POST   /v1/operate/keys/{id}                        grants a key; its secret is in the reply
//	DELETE /v1/operate/keys/{id}                        withdraws it
//	PUT    /v1/operate/domains/{name}/service           takes a failure domain out of service or brings it back
//	PUT    /v1/operate/racks/{domain}/{rack}/service    the same for a rack
//	PUT    /v1/operate/endpoints/{id}/service           the same for an endpoint
//
// A change accepts the query parameters base=VERSION, the version that it is
// based on, and force=true, which allows a limit below the current usage. The
// header Idempotency-Key identifies a change across retries; granting a key
// ignores it.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/hornbeamworks/hornbeam/config"
	gateapi "github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// Root is the path prefix of the interface.
	Root = "/v1/operate/"
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 64 << 10
	// defaultAuditLimit and maxAuditLimit limit the number of audit entries in a
	// reply.
	defaultAuditLimit = 50
	maxAuditLimit     = 1000
)

// ChangeReply is the reply to a change.
type ChangeReply struct {
	// Code is the numeric result code and Name its name.
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	// Reason explains a Code other than OK.
	Reason string `json:"reason,omitempty"`
	// Version is the version that the change created.
	Version model.ConfigVersion `json:"version,omitempty"`
	// Ours and Theirs are the conflicting changes, when Code is a conflict.
	Ours   *config.AuditEntry  `json:"ours,omitempty"`
	Theirs []config.AuditEntry `json:"theirs,omitempty"`
	// Secret is the secret of a granted key. No other reply contains it.
	Secret string `json:"secret,omitempty"`
}

// Service is the body of a request that takes a failure domain, a rack or an
// endpoint out of service or brings it back.
type Service struct {
	// Out takes the item out of service; false brings it back.
	Out bool `json:"out"`
}

// Grant is the body of a request that grants a key.
type Grant struct {
	// Team is the team the key belongs to; empty for operators and auditors.
	Team model.TeamName `json:"team,omitempty"`
	// Role determines which requests the key allows.
	Role model.Role `json:"role"`
}

// api holds the dependencies of the handlers; it is read-only.
type api struct{ service *operate.Service }

// Handler returns the HTTP handler of the service. Its routes include Root.
func Handler(service *operate.Service) http.Handler {
	a := &api{service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/operate/config", a.show)
	mux.HandleFunc("GET /v1/operate/audit", a.audit)
	mux.HandleFunc("GET /v1/operate/force", a.force)
	mux.HandleFunc("GET /v1/operate/limits", a.limits)
	mux.HandleFunc("PUT /v1/operate/classes/{name}", a.change(setClass))
	mux.HandleFunc("DELETE /v1/operate/classes/{name}", a.change(dropClass))
	mux.HandleFunc("PUT /v1/operate/teams/{name}", a.change(setTeam))
	mux.HandleFunc("DELETE /v1/operate/teams/{name}", a.change(dropTeam))
	mux.HandleFunc("POST /v1/operate/keys/{id}", a.grant)
	mux.HandleFunc("DELETE /v1/operate/keys/{id}", a.change(withdrawKey))
	mux.HandleFunc("PUT /v1/operate/domains/{name}/service", a.change(serveDomain))
	mux.HandleFunc("PUT /v1/operate/racks/{domain}/{rack}/service", a.change(serveRack))
	mux.HandleFunc("PUT /v1/operate/endpoints/{id}/service", a.change(serveEndpoint))
	return mux
}

// decodeCaller reads the operator's secret from the request's headers.
func decodeCaller(r *http.Request) (operate.Caller, *result.Error) {
	secret, problem := gateapi.DecodeSecret(r.Header)
	if problem != nil {
		return operate.Caller{}, problem
	}
	return operate.Caller{Digest: config.DigestOf(secret)}, nil
}

func (a *api) show(w http.ResponseWriter, r *http.Request) {
	caller, problem := decodeCaller(r)
	if problem != nil {
		writeRefusal(w, problem)
		return
	}
	shown := a.service.Show(r.Context(), caller)
	writeReply(w, shown.Code, shown)
}

func (a *api) limits(w http.ResponseWriter, r *http.Request) {
	caller, problem := decodeCaller(r)
	if problem != nil {
		writeRefusal(w, problem)
		return
	}
	limits := a.service.Limits(r.Context(), caller)
	writeReply(w, limits.Code, limits)
}

func (a *api) audit(w http.ResponseWriter, r *http.Request) {
	caller, problem := decodeCaller(r)
	after, afterProblem := queryUint(r, "after", 0)
	limit, limitProblem := queryUint(r, "limit", defaultAuditLimit)
	if problem = firstProblem(problem, afterProblem, limitProblem); problem != nil {
		writeRefusal(w, problem)
		return
	}
	log := a.service.Audit(r.Context(), caller, model.ConfigVersion(after), int(min(limit, maxAuditLimit)))
	writeReply(w, log.Code, log)
}

func (a *api) force(w http.ResponseWriter, r *http.Request) {
	caller, problem := decodeCaller(r)
	version, versionProblem := queryUint(r, "version", 0)
	if problem = firstProblem(problem, versionProblem); problem != nil {
		writeRefusal(w, problem)
		return
	}
	force := a.service.InForce(r.Context(), caller, model.ConfigVersion(version))
	writeReply(w, force.Code, force)
}

// queryUint returns the query parameter name as an unsigned integer of at most 63
// bits, or fallback when it is absent.
func queryUint(r *http.Request, name string, fallback uint64) (uint64, *result.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, &result.Error{Code: result.Malformed, Reason: name + " is no whole number"}
	}
	return value, nil
}

func firstProblem(problems ...*result.Error) *result.Error {
	for _, problem := range problems {
		if problem != nil {
			return problem
		}
	}
	return nil
}

// decodeBody decodes a body that consists of exactly one JSON value without
// unknown fields.
func decodeBody(r *http.Request, into any) *result.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); httpserve.IsRefused(err) {
		return &result.Error{Code: result.Busy, Reason: "too many open requests"}
	} else if err != nil {
		return &result.Error{Code: result.Malformed, Reason: "the body cannot be read: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &result.Error{Code: result.Malformed, Reason: "the body goes on after its object"}
	}
	return nil
}

func writeRefusal(w http.ResponseWriter, problem *result.Error) {
	writeReply(w, problem.Code, ChangeReply{Code: problem.Code, Name: problem.Code.String(), Reason: problem.Reason})
}

func writeReply(w http.ResponseWriter, code result.Code, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	status := gateapi.Status(code)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(int(httpserve.RetryAfter.Seconds())))
	}
	w.WriteHeader(status)
	// The error is ignored: an operator whose connection broke can query again.
	_ = json.NewEncoder(w).Encode(body)
}
