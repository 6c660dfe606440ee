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
	// writerRing is the capacity of the writer's ring. A full ring refuses: the
	// operator hears that the process is busy.
	writerRing = 64
	// defaultTimeout bounds a change from its turn to its outcome.
	defaultTimeout = 5 * time.Second
	// retryPause is the time between two tries of a table that gave no answer.
	retryPause = 100 * time.Millisecond
)

// resourceUnits names the resources with their units.
var resourceUnits = [model.NumResources]string{
	model.CPU:          "thousandths of a core",
	model.Memory:       "MiB of memory",
	model.Accelerators: "accelerators",
	model.Slots:        "slots",
	model.Connections:  "connections",
}

// Usage is what a team has running as far as it is known.
type Usage map[model.TeamName]model.Resources

// WriterOptions are what a Writer is made of.
type WriterOptions struct {
	// Table holds the configuration.
	Table storage.Table
	// Clock is the process's clock.
	Clock clock.Clock
	// Keeper is asked to read the table after an accepted change; it may be nil.
	Keeper *Keeper
	// Log gets one line for each change; nil for none.
	Log *logging.Logger
	// Timeout bounds a change from its turn to its outcome; 0 means 5 seconds.
	Timeout time.Duration
	// Usage returns what the teams have running; nil when nobody knows.
	Usage func(ctx context.Context) (Usage, error)
}

// Writer is the duty that makes operators' changes, one at a time. Its calls of
// the table block it; operators wait for their outcomes.
type Writer struct {
	options WriterOptions
	duty    *duty.Duty[order]
}

// order is a change with the ring of whoever waits for its outcome.
type order struct {
	change Change
	done   chan<- Outcome
}

// NewWriter returns a writer that has not started.
func NewWriter(options WriterOptions) *Writer {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.Log == nil {
		options.Log = logging.Discard()
	}
	w := &Writer{options: options}
	w.duty = duty.New("config-write", writerRing, duty.HandlerFunc[order](w.handle))
	return w
}

// Duties returns the duties to be started in the process's group.
func (w *Writer) Duties() []duty.Runner { return []duty.Runner{w.duty} }

// Change hands over a change; done, with room for one, gets the outcome. False
// means that the ring is full and nothing was changed.
func (w *Writer) Change(change Change, done chan<- Outcome) bool {
	return w.duty.Offer(order{change: change, done: done})
}

func (w *Writer) handle(batch []order) time.Duration {
	for _, o := range batch {
		ctx, cancel := context.WithTimeout(context.Background(), w.options.Timeout)
		a := &attempt{writer: w, ctx: ctx, change: o.change}
		outcome := a.run()
		cancel()
		w.log(o.change, outcome)
		if outcome.Code == result.OK && w.options.Keeper != nil {
			w.options.Keeper.ReadNow()
		}
		o.done <- outcome
	}
	return duty.Never
}

// log writes who changed what and what became of it. Neither item nor summary
// holds a secret.
func (w *Writer) log(change Change, outcome Outcome) {
	w.options.Log.Info("change_ended",
		slog.String("change", change.ID), slog.String("author", change.Author),
		slog.String("item", change.Edit.Item()), slog.String("summary", change.Edit.Summary()),
		slog.String("result", outcome.Code.String()), slog.Uint64("version", uint64(outcome.Version)))
}

// checkUse refuses limits that were lowered below what runs.
func (w *Writer) checkUse(ctx context.Context, before, next *model.Config) error {
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
		if err := checkTeamUse(team, usage[team.Name]); err != nil {
			return err
		}
	}
	return nil
}

// loweredTeams returns the teams of next whose limit is lower than before, and
// those that are gone with a limit of nothing.
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

func checkTeamUse(team model.Team, used model.Resources) error {
	for r, amount := range used {
		if amount > team.Limit[r] {
			return rejected("team %s: the limit of %d %s is below the %d that run; force the change to lower it all the same",
				team.Name, team.Limit[r], resourceUnits[r], amount)
		}
	}
	return nil
}
