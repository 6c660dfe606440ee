package policy

import "time"

// Settings bound what a Scheduler keeps and how it retries. The zero value of
// a field stands for its default.
type Settings struct {
	// QueueLimit is the most tasks of one class and team that may be queued.
	QueueLimit int
	// Attempts is the most attempts of one task that may fail.
	Attempts int
	// BackoffBase is the backoff after the first failure; it doubles with each.
	BackoffBase time.Duration
	// BackoffMax is the longest backoff.
	BackoffMax time.Duration
	// StartsPerPlan bounds the starts of one call of Decide.
	StartsPerPlan int
	// HalfLife is the half-life of a team's past use.
	HalfLife time.Duration
	// ProbeAfter is the time until a quarantined endpoint is first probed.
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

// WithDefaults returns s with defaults in place of zero values.
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
