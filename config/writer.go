package config

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// writerRingCapacity bounds the writer's ring. When it is full, the operator
	// gets a busy result.
	writerRingCapacity = 64
	// defaultTimeout limits the execution of a change, without its time in the
	// ring.
	defaultTimeout = 5 * time.Second
	// retryDelay is the wait before a retry when the table did not respond.
	retryDelay = 100 * time.Millisecond
)

// resourceUnits are the units of the resources in messages to operators.
var resourceUnits = [model.NumResources]string{
	model.CPU:          "thousandths of a core",
	model.Memory:       "MiB of memory",
	model.Accelerators: "accelerators",
	model.Slots:        "slots",
	model.Connections:  "connections",
}

// Usage holds the resources of each team's running work, as last recorded.
type Usage map[model.TeamName]model.Resources

// WriterOptions are the dependencies and settings of a Writer.
type WriterOptions struct {
	// Table stores the configuration and the audit log.
	Table storage.Table
	Clock clock.Clock
	// Store reads the table right after an accepted change; nil for none.
	Store *Store
	// Log receives one line for each change; nil for none.
	Log *logging.Logger
	// Timeout limits the execution of a change, without its time in the ring; 0
	// means 5 seconds.
	Timeout time.Duration
	// Usage returns the teams' current usage; when it is nil, lowered limits are
	// not checked against usage.
	Usage func(ctx context.Context) (Usage, error)
}

// Writer is the duty that executes operators' changes one at a time. It blocks
// while it calls the table; further changes wait in its ring.
type Writer struct {
	options WriterOptions
	duty    *duty.Duty[changeRequest]
}

// changeRequest is a change with the channel that receives its outcome.
type changeRequest struct {
	change Change
	done   chan<- Outcome
}

// NewWriter returns a writer whose duty is not started.
func NewWriter(options WriterOptions) *Writer {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.Log == nil {
		options.Log = logging.Discard()
	}
	w := &Writer{options: options}
	w.duty = duty.New("config-write", writerRingCapacity, duty.HandlerFunc[changeRequest](w.handle))
	return w
}

// Duties returns the duties to be started in the process's group.
func (w *Writer) Duties() []duty.Runner { return []duty.Runner{w.duty} }

// Change queues a change. done receives the outcome and must be buffered. Change
// returns false when the ring is full; the change is then not executed.
func (w *Writer) Change(change Change, done chan<- Outcome) bool {
	return w.duty.Offer(changeRequest{change: change, done: done})
}

func (w *Writer) handle(batch []changeRequest) time.Duration {
	for _, r := range batch {
		ctx, cancel := context.WithTimeout(context.Background(), w.options.Timeout)
		a := &attempt{writer: w, ctx: ctx, change: r.change}
		outcome := a.run()
		cancel()
		w.log(r.change, outcome)
		if outcome.Code == result.OK && w.options.Store != nil {
			w.options.Store.ReadNow()
		}
		r.done <- outcome
	}
	return duty.Never
}

// log records a change, its author and its result. Neither item nor summary
// contains a secret.
func (w *Writer) log(change Change, outcome Outcome) {
	w.options.Log.Info("change_ended",
		slog.String("change", change.ID), slog.String("author", change.Author),
		slog.String("item", change.Edit.Item()), slog.String("summary", change.Edit.Summary()),
		slog.String("result", outcome.Code.String()), slog.Uint64("version", uint64(outcome.Version)))
}

// checkUsage rejects limits that are lowered below the team's current usage.
func (w *Writer) checkUsage(ctx context.Context, before, next *model.Config) error {
	if w.options.Usage == nil {
		return nil
	}
	lowered := loweredTeams(before, next)
	if len(lowered) == 0 {
		return nil
	}
	usage, err := w.options.Usage(ctx)
	if err != nil {
		return rejected("what the teams run is not known now: %v; force the change to lower a limit all the same", err)
	}
	for _, team := range lowered {
		if err := checkTeamUsage(team, usage[team.Name]); err != nil {
			return err
		}
	}
	return nil
}

// loweredTeams returns the teams whose limit in next is lower than in before. A
// removed team is included with a limit of zero.
func loweredTeams(before, next *model.Config) []model.Team {
	var lowered []model.Team
	for _, old := range before.Teams {
		team, ok := next.Team(old.Name)
		if !ok {
			team = model.Team{Name: old.Name}
		}
		if !old.Limit.Fits(team.Limit) {
			lowered = append(lowered, team)
		}
	}
	return lowered
}

func checkTeamUsage(team model.Team, used model.Resources) error {
	for r, amount := range used {
		if amount > team.Limit[r] {
			return rejected("team %s: the limit of %d %s is below the %d that run; force the change to lower it all the same",
				team.Name, team.Limit[r], resourceUnits[r], amount)
		}
	}
	return nil
}
