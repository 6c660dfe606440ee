package gate

import (
	"expvar"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// maxLabels bounds the histograms by class and by team.
const maxLabels = 128

// results is the expvar map "gate_results": the answers given by name of their
// result code.
var results = expvar.NewMap("gate_results")

// observer counts and logs what callers are told. It can be used by every
// thread.
type observer struct {
	log     *logging.Logger
	byClass *metrics.Histograms
	byTeam  *metrics.Histograms
}

func newObserver(log *logging.Logger) *observer {
	return &observer{
		log:     log,
		byClass: metrics.NewHistograms("gate_submit_by_class", maxLabels),
		byTeam:  metrics.NewHistograms("gate_submit_by_team", maxLabels),
	}
}

// submitted notes the answer to a submission and how long it took, the wait
// that the caller asked for included.
func (o *observer) submitted(v *Visit, class model.ClassName, answer model.Answer, took time.Duration) {
	if _, known := v.grant.config.Class(class); known {
		o.byClass.Record(string(class), took)
	}
	o.byTeam.Record(string(v.grant.team), took)
	o.answered("request_submitted", v.grant.team, answer)
}

// answered counts the answer and logs it: what the system could not serve as a
// warning, other refusals as information.
func (o *observer) answered(event string, team model.TeamName, answer model.Answer) {
	code := result.Code(answer.Code)
	results.Add(code.String(), 1)
	attrs := []slog.Attr{
		slog.String("request", string(answer.ID)), slog.String("team", string(team)),
		slog.String("code", code.String()), slog.String("ran", string(answer.Ran)),
	}
	switch code {
	case result.OK, result.Pending:
		o.log.Debug(event, attrs...)
	case result.HomeUnreachable, result.HomeNotReached, result.OutcomeUnknown:
		o.log.Warn(event, attrs...)
	default:
		o.log.Info(event, attrs...)
	}
}

// refused notes a caller that was not admitted. Neither its key nor anything
// else that it sent is logged.
func (o *observer) refused(g *grant) {
	results.Add(g.refusal.Code.String(), 1)
	o.log.Info("caller_refused", slog.String("code", g.refusal.Code.String()), slog.String("key", g.key.ID))
}
