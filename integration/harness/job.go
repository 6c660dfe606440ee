package harness

import (
	"fmt"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Teams of the clusters' configuration.
const (
	// DefaultTeam may use the whole fleet.
	DefaultTeam = "packer"
	// OtherTeam may use a quarter of it.
	OtherTeam = "rival"
	// Keyless is the team of work without a key.
	Keyless = string(model.OpenTeam)
)

// Classes of the clusters' configuration.
const (
	// Screen is a repeatable class.
	Screen = "screen"
	// Settlement is a class that is not repeatable.
	Settlement = "settlement"
	// OpenClass is a repeatable class that takes work without a key.
	OpenClass = "public"
)

// briefRun is the run time of the loads below.
const briefRun = 100 * time.Millisecond

// Job is one request to be sent. Work of team Keyless comes without a key.
type Job struct {
	// Team and Key name the request.
	Team, Key string
	// Class is the class of work.
	Class string
	// Tasks is the number of tasks; 0 means 1.
	Tasks int
	// Run is how long each task runs.
	Run time.Duration
	// CancelAfter cancels the request after this time; 0 never does.
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

// Once is request i of a load that is not repeatable.
func Once(i int) Job {
	return Job{Team: DefaultTeam, Key: fmt.Sprintf("once-%d", i), Class: Settlement, Run: briefRun}
}

// Again is request i of a load that may run again.
func Again(i int) Job {
	return Job{Team: DefaultTeam, Key: fmt.Sprintf("again-%d", i), Class: Screen, Run: briefRun}
}

// Either is request i of a load that alternates between both.
func Either(i int) Job {
	if i%2 == 0 {
		return Once(i)
	}
	return Again(i)
}

// Public is request i of a load that comes without a key.
func Public(i int) Job {
	return Job{Team: Keyless, Key: fmt.Sprintf("public-%d", i), Class: OpenClass, Run: briefRun}
}

// Mixed is request i of a load of two teams, some of several tasks.
func Mixed(i int) Job {
	j := Either(i)
	if i%4 == 0 {
		j.Team = OtherTeam
	}
	if i%5 == 0 {
		j.Tasks = 3
	}
	return j
}
