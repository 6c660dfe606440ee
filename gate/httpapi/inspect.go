package httpapi

import (
	"net/http"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// explain serves GET /v1/requests/{id}/explain.
func (a *api) explain(w http.ResponseWriter, r *http.Request) {
	visit, problem := a.enter(r, gate.Inspecting)
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.Inspecting, problem))
		return
	}
	defer visit.Leave()
	endReading(w)
	account := visit.Explain(model.RequestID(r.PathValue("id")))
	a.write(w, result.Code(account.Code), account)
}

// status serves GET /v1/status.
func (a *api) status(w http.ResponseWriter, r *http.Request) {
	visit, problem := a.enter(r, gate.Inspecting)
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.Inspecting, problem))
		return
	}
	defer visit.Leave()
	endReading(w)
	status, problem := visit.Status()
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.Inspecting, problem))
		return
	}
	a.write(w, result.OK, status)
}
