package httpapi

import (
	"net/http"

	"github.com/google/uuid"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// change returns a handler that executes the edit parsed from the request.
func (a *api) change(edit func(*http.Request) (config.Edit, *result.Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		parsed, problem := edit(r)
		if problem != nil {
			writeRefusal(w, problem)
			return
		}
		a.makeChange(w, r, config.Change{ID: changeID(r), Edit: parsed}, "")
	}
}

// grant generates a secret, grants the key and returns the secret in the reply. A
// repeated request is a different change, since it has a different secret; it is
// rejected, since the key's id is in use.
func (a *api) grant(w http.ResponseWriter, r *http.Request) {
	var body Grant
	if problem := decodeBody(r, &body); problem != nil {
		writeRefusal(w, problem)
		return
	}
	secret, hash := config.NewSecret()
	key := model.Key{ID: r.PathValue("id"), Team: body.Team, Role: body.Role, Hash: hash}
	a.makeChange(w, r, config.Change{ID: uuid.NewString(), Edit: config.GrantKey{Key: key}}, secret)
}

// makeChange executes the change and writes the outcome. The reply contains secret
// only when the change was accepted.
func (a *api) makeChange(w http.ResponseWriter, r *http.Request, change config.Change, secret string) {
	caller, problem := decodeCaller(r)
	base, baseProblem := queryUint(r, "base", 0)
	if problem = firstProblem(problem, baseProblem); problem != nil {
		writeRefusal(w, problem)
		return
	}
	change.Base = model.ConfigVersion(base)
	change.Force = r.URL.Query().Get("force") == "true"
	outcome := a.service.Change(r.Context(), caller, change)
	reply := ChangeReply{
		Code: outcome.Code, Name: outcome.Code.String(), Reason: outcome.Reason,
		Version: outcome.Version, Theirs: outcome.Theirs,
	}
	if outcome.Code == result.ChangeConflict {
		reply.Ours = &outcome.Ours
	}
	if outcome.Code == result.OK {
		reply.Secret = secret
	}
	writeReply(w, outcome.Code, reply)
}

// changeID returns the request's idempotency key, or a new id without one.
func changeID(r *http.Request) string {
	if id := r.Header.Get("Idempotency-Key"); id != "" {
		return id
	}
	return uuid.NewString()
}

func setClass(r *http.Request) (config.Edit, *result.Error) {
	var class model.Class
	problem := decodeBody(r, &class)
	class.Name = model.ClassName(r.PathValue("name"))
	return config.SetClass{Class: class}, problem
}

func dropClass(r *http.Request) (config.Edit, *result.Error) {
	return config.DropClass{Name: model.ClassName(r.PathValue("name"))}, nil
}

func setTeam(r *http.Request) (config.Edit, *result.Error) {
	var team model.Team
	problem := decodeBody(r, &team)
	team.Name = model.TeamName(r.PathValue("name"))
	return config.SetTeam{Team: team}, problem
}

func dropTeam(r *http.Request) (config.Edit, *result.Error) {
	return config.DropTeam{Name: model.TeamName(r.PathValue("name"))}, nil
}

func withdrawKey(r *http.Request) (config.Edit, *result.Error) {
	return config.WithdrawKey{ID: r.PathValue("id")}, nil
}

func serveDomain(r *http.Request) (config.Edit, *result.Error) {
	var body Service
	problem := decodeBody(r, &body)
	return config.ServeDomain{Name: model.DomainName(r.PathValue("name")), Out: body.Out}, problem
}

func serveRack(r *http.Request) (config.Edit, *result.Error) {
	var body Service
	problem := decodeBody(r, &body)
	rack := model.RackRef{
		Domain: model.DomainName(r.PathValue("domain")),
		Rack:   model.RackName(r.PathValue("rack")),
	}
	return config.ServeRack{Rack: rack, Out: body.Out}, problem
}

func serveEndpoint(r *http.Request) (config.Edit, *result.Error) {
	var body Service
	problem := decodeBody(r, &body)
	return config.ServeEndpoint{ID: model.EndpointID(r.PathValue("id")), Out: body.Out}, problem
}
