// Package load drives entry instances with a workload and judges every answer.
//
// The pace duty makes the requests of all streams at their times and hands them
// to caller duties, each of which carries one request at a time to its end, as
// a careful caller does. The tally duty writes the callers' records, counts and
// shows the progress.
package load

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

// Workload is what is handed in: streams of like requests.
type Workload struct {
	// Streams are the streams of requests.
	Streams []Stream `ini:"stream.*" validate:"min=1,dive"`
}

// Stream is a stream of like requests of one team.
type Stream struct {
	// Name names the stream.
	Name string `ini:"*"`
	// Class is the class of work, Team the team whose key is used; no team is
	// a caller without a key.
	Class string `ini:"class" validate:"required"`
	Team  string `ini:"team"`
	// Kind is batch, gang or service; batch when left out.
	Kind string `ini:"kind" validate:"omitempty,oneof=batch gang service"`
	// Rate is the mean number of requests a second.
	Rate float64 `ini:"rate" validate:"gt=0,max=10000"`
	// MinTasks and MaxTasks bound the number of tasks; 1 when left out.
	MinTasks int `ini:"min_tasks" validate:"min=0"`
	MaxTasks int `ini:"max_tasks" validate:"omitempty,gtefield=MinTasks"`
	// CPU is in thousandths of a core, Memory in MiB, for each task.
	CPU          int64 `ini:"cpu" validate:"min=0"`
	Memory       int64 `ini:"memory" validate:"min=0"`
	Accelerators int64 `ini:"accelerators" validate:"min=0"`
	Connections  int64 `ini:"connections" validate:"min=0"`
	// MinRun and MaxRun bound the real run time of a task. A service runs for
	// that time after it was accepted and is then cancelled.
	MinRun time.Duration `ini:"min_run" validate:"min=1ms"`
	MaxRun time.Duration `ini:"max_run" validate:"omitempty,gtefield=MinRun"`
	// EstimateError is the factor by which the declared run time is off at
	// most, in either direction; 1 is exact.
	EstimateError float64 `ini:"estimate_error" validate:"omitempty,min=1,max=100"`
	// FailProbability is the chance that an attempt fails.
	FailProbability float64 `ini:"fail_probability" validate:"min=0,max=1"`
	// NotRepeatable marks requests that run at most once.
	NotRepeatable bool `ini:"not_repeatable"`
}

// Read reads and checks the workload in the file.
func Read(file string) (*Workload, error) {
	w := &Workload{}
	if err := settings.Load(file, w); err != nil {
		return nil, err
	}
	for i := range w.Streams {
		w.Streams[i].complete()
	}
	return w, nil
}

// Scale multiplies the rate of every stream. The factor must be above zero.
func (w *Workload) Scale(factor float64) error {
	if factor <= 0 {
		return eris.Errorf("the rate factor is %g, it must be above zero", factor)
	}
	for i := range w.Streams {
		w.Streams[i].Rate *= factor
	}
	return nil
}

// complete fills in what a stream leaves out.
func (s *Stream) complete() {
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
	// Teams are the teams.
	Teams []TeamKey `ini:"team.*" validate:"dive"`
}

// TeamKey is the key of a team.
type TeamKey struct {
	// Team is the team.
	Team string `ini:"*"`
	// Secret is the key's secret.
	Secret string `ini:"secret" validate:"required"`
}

// ReadKeys reads the secrets in the file.
func ReadKeys(file string) (*Keys, error) {
	k := &Keys{}
	return k, settings.Load(file, k)
}

// secret returns the secret of the team; empty when it has none.
func (k *Keys) secret(team string) string {
	for _, key := range k.Teams {
		if key.Team == team {
			return key.Secret
		}
	}
	return ""
}
