// Package httpapi is the HTTP front of package operate: JSON over net/http.
//
//	GET    /v1/operate/config                           what is set
//	GET    /v1/operate/audit?after=VERSION&limit=N      who changed what
//	GET    /v1/operate/force?version=VERSION            where a version is in force
//	GET    /v1/operate/limits                           how far team limits are in force
//	PUT    /v1/operate/classes/{name}                   sets a class
//	DELETE /v1/operate/classes/{name}                   removes it
//	PUT    /v1/operate/teams/{name}                     sets a team's share and limit
//	DELETE /v1/operate/teams/{name}                     removes it
//	POST   /v1/operate/keys/{id}                        grants a key; its secret is in the reply
//	DELETE /v1/operate/keys/{id}                        withdraws it
//	PUT    /v1/operate/domains/{name}/service           takes a failure domain out or brings it back
//	PUT    /v1/operate/racks/{domain}/{rack}/service    the same for a rack
//	PUT    /v1/operate/endpoints/{id}/service           the same for an endpoint
//
// A change takes the query base=VERSION, the version that the operator looked
// at, and force=true, which accepts a limit below what runs. The header
// Idempotency-Key names the change: the same name is the same change.
package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/hornbeamworks/hornbeam/config"
	gateapi "github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// Root is the path below which the interface is mounted.
	Root = "/v1/operate/"
	// maxBodyBytes bounds the body of a change.
	maxBodyBytes = 64 << 10
	// defaultLogLimit and maxLogLimit bound a piece of the audit log.
	defaultLogLimit = 50
	maxLogLimit     = 1000
)

// ChangeReply is the reply to a change.
type ChangeReply struct {
	// Code is the numbered result and Name its short name.
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	// Reason says why, when Code is not OK.
	Reason string `json:"reason,omitempty"`
	// Version is the version that the change made.
	Version model.ConfigVersion `json:"version,omitempty"`
	// Ours and Theirs are both sides of a conflict.
	Ours   *config.AuditEntry  `json:"ours,omitempty"`
	Theirs []config.AuditEntry `json:"theirs,omitempty"`
	// Secret is the secret of a granted key. It is shown once.
	Secret string `json:"secret,omitempty"`
}

// Service is the body that takes something out of service or brings it back.
type Service struct {
	// Out takes it out.
	Out bool `json:"out"`
}

// Grant is the body that grants a key.
type Grant struct {
	// Team is the team the key belongs to; empty for operators and auditors.
	Team model.TeamName `json:"team,omitempty"`
	// Role is what the key allows.
	Role model.Role `json:"role"`
}

// api holds what handlers need; it is read-only.
type api struct{ desk *operate.Desk }

// Handler returns the HTTP interface of the desk, to be mounted at Root.
func Handler(desk *operate.Desk) http.Handler {
	a := &api{desk: desk}
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

// caller returns who asks.
func caller(r *http.Request) (operate.Caller, *result.Error) {
	secret, problem := gateapi.DecodeSecret(r.Header)
	if problem != nil {
		return operate.Caller{}, problem
	}
	return operate.Caller{Digest: config.DigestOf(secret)}, nil
}

func (a *api) show(w http.ResponseWriter, r *http.Request) {
	who, problem := caller(r)
	if problem != nil {
		refuse(w, problem)
		return
	}
	shown := a.desk.Show(r.Context(), who)
	write(w, shown.Code, shown)
}

func (a *api) limits(w http.ResponseWriter, r *http.Request) {
	who, problem := caller(r)
	if problem != nil {
		refuse(w, problem)
		return
	}
	limits := a.desk.Limits(r.Context(), who)
	write(w, limits.Code, limits)
}

func (a *api) audit(w http.ResponseWriter, r *http.Request) {
	who, problem := caller(r)
	after, bad := number(r, "after", 0)
	limit, worse := number(r, "limit", defaultLogLimit)
	if problem = first(problem, bad, worse); problem != nil {
		refuse(w, problem)
		return
	}
	log := a.desk.Audit(r.Context(), who, model.ConfigVersion(after), int(min(limit, maxLogLimit)))
	write(w, log.Code, log)
}

func (a *api) force(w http.ResponseWriter, r *http.Request) {
	who, problem := caller(r)
	version, bad := number(r, "version", 0)
	if problem = first(problem, bad); problem != nil {
		refuse(w, problem)
		return
	}
	force := a.desk.InForce(r.Context(), who, model.ConfigVersion(version))
	write(w, force.Code, force)
}

// number reads a whole number of the query.
func number(r *http.Request, name string, fallback uint64) (uint64, *result.Error) {
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

func first(problems ...*result.Error) *result.Error {
	for _, problem := range problems {
		if problem != nil {
			return problem
		}
	}
	return nil
}

// decode reads the one JSON object of a body.
func decode(r *http.Request, into any) *result.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &result.Error{Code: result.Malformed, Reason: "the body cannot be read: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &result.Error{Code: result.Malformed, Reason: "the body goes on after its object"}
	}
	return nil
}

func refuse(w http.ResponseWriter, problem *result.Error) {
	write(w, problem.Code, ChangeReply{Code: problem.Code, Name: problem.Code.String(), Reason: problem.Reason})
}

func write(w http.ResponseWriter, code result.Code, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(gateapi.Status(code))
	// An operator who does not take the reply looks again.
	_ = json.NewEncoder(w).Encode(body)
}
