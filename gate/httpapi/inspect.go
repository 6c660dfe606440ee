package httpapi

import (
	"net/http"

	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// explain serves GET /v1/requests/{id}/explain.
func (a *api) explain(w http.ResponseWriter, r *http.Request) {
	call, problem := a.admit(r, gate.VerbInspect)
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.VerbInspect, problem))
		return
	}
	defer call.End()
	clearReadDeadline(w)
	report := call.Explain(model.RequestID(r.PathValue("id")))
	a.write(w, result.Code(report.Code), report)
}

// status serves GET /v1/status.
func (a *api) status(w http.ResponseWriter, r *http.Request) {
	call, problem := a.admit(r, gate.VerbInspect)
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.VerbInspect, problem))
		return
	}
	defer call.End()
	clearReadDeadline(w)
	status, problem := call.Status()
	if problem != nil {
		a.write(w, problem.Code, refusal(gate.VerbInspect, problem))
		return
	}
	a.write(w, result.OK, status)
}
