package httpapi

import (
	"net/http"

	"github.com/google/uuid"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// change serves a change whose edit is read from the request.
func (a *api) change(edit func(*http.Request) (config.Edit, *result.Error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wanted, problem := edit(r)
		if problem != nil {
			refuse(w, problem)
			return
		}
		a.carryOut(w, r, config.Change{ID: changeID(r), Edit: wanted}, "")
	}
}

// grant makes a secret, grants the key and shows the secret once. A repeat is
// another change, since it has another secret: it is refused for the id in use.
func (a *api) grant(w http.ResponseWriter, r *http.Request) {
	var body Grant
	if problem := decode(r, &body); problem != nil {
		refuse(w, problem)
		return
	}
	secret, hash := config.NewSecret()
	key := model.Key{ID: r.PathValue("id"), Team: body.Team, Role: body.Role, Hash: hash}
	a.carryOut(w, r, config.Change{ID: uuid.NewString(), Edit: config.GrantKey{Key: key}}, secret)
}

// carryOut hands the change to the desk and writes the outcome. secret is shown
// when the change was accepted.
func (a *api) carryOut(w http.ResponseWriter, r *http.Request, change config.Change, secret string) {
	who, problem := caller(r)
	base, bad := number(r, "base", 0)
	if problem = first(problem, bad); problem != nil {
		refuse(w, problem)
		return
	}
	change.Base = model.ConfigVersion(base)
	change.Force = r.URL.Query().Get("force") == "true"
	outcome := a.desk.Change(r.Context(), who, change)
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
	write(w, outcome.Code, reply)
}

// changeID is the operator's name for the change, or a new one.
func changeID(r *http.Request) string {
	if id := r.Header.Get("Idempotency-Key"); id != "" {
		return id
	}
	return uuid.NewString()
}

func setClass(r *http.Request) (config.Edit, *result.Error) {
	var class model.Class
	problem := decode(r, &class)
	class.Name = model.ClassName(r.PathValue("name"))
	return config.SetClass{Class: class}, problem
}

func dropClass(r *http.Request) (config.Edit, *result.Error) {
	return config.DropClass{Name: model.ClassName(r.PathValue("name"))}, nil
}

func setTeam(r *http.Request) (config.Edit, *result.Error) {
	var team model.Team
	problem := decode(r, &team)
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
	problem := decode(r, &body)
	return config.ServeDomain{Name: model.DomainName(r.PathValue("name")), Out: body.Out}, problem
}

func serveRack(r *http.Request) (config.Edit, *result.Error) {
	var body Service
	problem := decode(r, &body)
	rack := model.RackRef{
		Domain: model.DomainName(r.PathValue("domain")),
		Rack:   model.RackName(r.PathValue("rack")),
	}
	return config.ServeRack{Rack: rack, Out: body.Out}, problem
}

func serveEndpoint(r *http.Request) (config.Edit, *result.Error) {
	var body Service
	problem := decode(r, &body)
	return config.ServeEndpoint{ID: model.EndpointID(r.PathValue("id")), Out: body.Out}, problem
}
