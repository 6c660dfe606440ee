// Package load generates load on entry instances from a workload and checks every
// answer.
//
// The pace duty generates the requests of all streams at their due times and assigns
// them to caller duties. Each caller serves one request at a time with retries until
// its final answer. The tally duty writes the callers' records, counts the results
// and prints the progress.
package load

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

// Workload is a set of request streams.
type Workload struct {
	Streams []Stream `ini:"stream.*" validate:"min=1,dive"`
}

// Stream describes similar requests of one team.
type Stream struct {
	Name string `ini:"*"`
	// Class is the class of work. Team is the team whose key is used; when empty,
	// requests are sent without a key.
	Class string `ini:"class" validate:"required"`
	Team  string `ini:"team"`
	// Kind is batch, gang or service; the default is batch.
	Kind string `ini:"kind" validate:"omitempty,oneof=batch gang service"`
	// Rate is the mean number of requests per second.
	Rate float64 `ini:"rate" validate:"gt=0,max=10000"`
	// MinTasks and MaxTasks bound the number of tasks; the default is 1.
	MinTasks int `ini:"min_tasks" validate:"min=0"`
	MaxTasks int `ini:"max_tasks" validate:"omitempty,gtefield=MinTasks"`
	// CPU is in thousandths of a core and Memory in MiB, both per task.
	CPU          int64 `ini:"cpu" validate:"min=0"`
	Memory       int64 `ini:"memory" validate:"min=0"`
	Accelerators int64 `ini:"accelerators" validate:"min=0"`
	Connections  int64 `ini:"connections" validate:"min=0"`
	// MinRun and MaxRun bound the actual run time of a task. A service is cancelled
	// that time after it was accepted.
	MinRun time.Duration `ini:"min_run" validate:"min=1ms"`
	MaxRun time.Duration `ini:"max_run" validate:"omitempty,gtefield=MinRun"`
	// EstimateError is the largest factor by which the declared run time differs from
	// the actual one, in either direction; 1 is exact.
	EstimateError float64 `ini:"estimate_error" validate:"omitempty,min=1,max=100"`
	// FailProbability is the probability that an attempt fails.
	FailProbability float64 `ini:"fail_probability" validate:"min=0,max=1"`
	// NotRepeatable marks requests that must run at most once.
	NotRepeatable bool `ini:"not_repeatable"`
}

// Read reads and validates the workload in the file.
func Read(file string) (*Workload, error) {
	w := &Workload{}
	if err := settings.Load(file, w); err != nil {
		return nil, err
	}
	for i := range w.Streams {
		w.Streams[i].setDefaults()
	}
	return w, nil
}

// Scale multiplies the rate of every stream. The factor must be above zero.
func (w *Workload) Scale(factor float64) error {
	if factor <= 0 {
		return eris.Errorf("the rate factor is %g, but must be above zero", factor)
	}
	for i := range w.Streams {
		w.Streams[i].Rate *= factor
	}
	return nil
}

// setDefaults sets the defaults of omitted settings.
func (s *Stream) setDefaults() {
	if s.Kind == "" {
		s.Kind = string(model.Batch)
	}
	s.EstimateError = max(s.EstimateError, 1)
	s.MinTasks = max(s.MinTasks, 1)
	s.MaxTasks = max(s.MaxTasks, s.MinTasks)
	s.MaxRun = max(s.MaxRun, s.MinRun)
}

// size returns the declared size of a task.
func (s *Stream) size() model.Resources {
	return model.Resources{
		model.CPU:          s.CPU,
		model.Memory:       s.Memory,
		model.Accelerators: s.Accelerators,
		model.Slots:        1,
		model.Connections:  s.Connections,
	}
}

// Keys are the secrets of the teams' keys.
type Keys struct {
	Teams []TeamKey `ini:"team.*" validate:"dive"`
}

// TeamKey is the key of a team.
type TeamKey struct {
	Team   string `ini:"*"`
	Secret string `ini:"secret" validate:"required"`
}

// ReadKeys reads the secrets in the file.
func ReadKeys(file string) (*Keys, error) {
	k := &Keys{}
	return k, settings.Load(file, k)
}

// secret returns the secret of the team; empty when no key is configured for it.
func (k *Keys) secret(team string) string {
	for _, key := range k.Teams {
		if key.Team == team {
			return key.Secret
		}
	}
	return ""
}
