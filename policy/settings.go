package policy

import "time"

// Settings limits the work that a Scheduler queues and sets how it retries. A
// zero field stands for its default.
type Settings struct {
	// QueueLimit is the maximum number of queued tasks per class and team.
	QueueLimit int
	// Attempts is the maximum number of failed attempts per task.
	Attempts int
	// BackoffBase is the delay after the first failure; it doubles with each
	// further failure.
	BackoffBase time.Duration
	// BackoffMax is the maximum delay between two attempts.
	BackoffMax time.Duration
	// StartsPerPlan is the maximum number of starts per call of Decide.
	StartsPerPlan int
	// HalfLife is the half-life of a team's recorded past usage.
	HalfLife time.Duration
	// ProbeAfter is the time from the start of a quarantine to the first probe
	// of the endpoint.
	ProbeAfter time.Duration
}

// The defaults of Settings.
const (
	DefaultQueueLimit    = 4096
	DefaultAttempts      = 4
	DefaultBackoffBase   = 200 * time.Millisecond
	DefaultBackoffMax    = 30 * time.Second
	DefaultStartsPerPlan = 512
	DefaultHalfLife      = time.Minute
	DefaultProbeAfter    = 10 * time.Second
)

// WithDefaults returns s with each zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.QueueLimit, DefaultQueueLimit)
	setDefault(&s.Attempts, DefaultAttempts)
	setDefault(&s.BackoffBase, DefaultBackoffBase)
	setDefault(&s.BackoffMax, DefaultBackoffMax)
	setDefault(&s.StartsPerPlan, DefaultStartsPerPlan)
	setDefault(&s.HalfLife, DefaultHalfLife)
	setDefault(&s.ProbeAfter, DefaultProbeAfter)
	return s
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
