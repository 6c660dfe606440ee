package harness

import (
	"fmt"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Teams in the clusters' configuration.
const (
	// DefaultTeam may use the entire fleet.
	DefaultTeam = "packer"
	// OtherTeam may use a quarter of the fleet.
	OtherTeam = "rival"
	// Keyless is the team of requests without a key.
	Keyless = string(model.OpenTeam)
)

// Classes in the clusters' configuration.
const (
	// Screen is a repeatable class.
	Screen = "screen"
	// Settlement is a class that is not repeatable.
	Settlement = "settlement"
	// OpenClass is a repeatable class that accepts requests without a key.
	OpenClass = "public"
)

// briefRun is the run time of the tasks of the jobs below.
const shortRun = 100 * time.Millisecond

// Job is a request to send. Requests of team Keyless are sent without a key.
type Job struct {
	// Team and the idempotency key Key identify the request.
	Team, Key string
	Class     string
	// Tasks is the number of tasks; 0 means 1.
	Tasks int
	// Run is the run time of each task.
	Run time.Duration
	// CancelAfter is the time after which the request is cancelled; 0 means never.
	CancelAfter time.Duration
}

// taskSize is the declared size of every task.
var taskSize = model.Resources{1000, 1024, 0, 1, 1}

func (j Job) spec() model.Spec {
	payload := standin.Payload{RunMS: j.Run.Milliseconds(), Output: "ok ", Seed: Seed}
	return model.Spec{
		Class: model.ClassName(j.Class), Tasks: max(j.Tasks, 1), Size: taskSize,
		Estimate: j.Run, Payload: payload.Encode(),
	}
}

// NonRepeatable returns request i of the non-repeatable class.
func NonRepeatable(i int) Job {
	return Job{Team: DefaultTeam, Key: fmt.Sprintf("once-%d", i), Class: Settlement, Run: shortRun}
}

// Repeatable returns request i of the repeatable class.
func Repeatable(i int) Job {
	return Job{Team: DefaultTeam, Key: fmt.Sprintf("again-%d", i), Class: Screen, Run: shortRun}
}

// Alternating returns request i of a load that alternates between non-repeatable and
// repeatable requests.
func Alternating(i int) Job {
	if i%2 == 0 {
		return NonRepeatable(i)
	}
	return Repeatable(i)
}

// Public returns request i of the class that accepts requests without a key.
func Public(i int) Job {
	return Job{Team: Keyless, Key: fmt.Sprintf("public-%d", i), Class: OpenClass, Run: shortRun}
}

// Mixed returns request i of a load of two teams, in which some requests have several
// tasks.
func Mixed(i int) Job {
	j := Alternating(i)
	if i%4 == 0 {
		j.Team = OtherTeam
	}
	if i%5 == 0 {
		j.Tasks = 3
	}
	return j
}
