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

// maxLabels is the maximum number of labels of each histogram.
const maxLabels = 128

// results is the expvar map "gate_results": the number of answers by the name of
// their result code.
var results = expvar.NewMap("gate_results")

// observer counts and logs the answers to callers. It is safe for concurrent
// use.
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

// recordSubmission records the answer to a submission and its duration, which
// includes the wait that the caller requested.
func (o *observer) recordSubmission(c *Call, class model.ClassName, answer model.Answer, duration time.Duration) {
	if _, exists := c.grant.config.Class(class); exists {
		o.byClass.Record(string(class), duration)
	}
	o.byTeam.Record(string(c.grant.team), duration)
	o.recordAnswer("request_submitted", c.grant.team, answer)
}

// recordAnswer counts the answer and logs it: at warning level when the home was
// not reached or the outcome is unknown, other refusals at info level.
func (o *observer) recordAnswer(event string, team model.TeamName, answer model.Answer) {
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

// recordRefusal counts and logs a call that was not admitted. The log line has
// the id of the key, never its secret or other input of the caller.
func (o *observer) recordRefusal(g *grant) {
	results.Add(g.refusal.Code.String(), 1)
	o.log.Info("caller_refused", slog.String("code", g.refusal.Code.String()), slog.String("key", g.key.ID))
}
