package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/quarantine"
)

// Node is what the scheduler knows of one endpoint.
type Node struct {
	// Info is what is fixed about the endpoint.
	Info model.EndpointInfo
	// Rack is the endpoint's rack.
	Rack *Rack
	// Committed is the size of all live attempts.
	Committed model.Resources
	// Excess is the reported usage above what the attempts have committed.
	Excess model.Resources
	// Foreign is the size of reported attempts that the scheduler has not
	// placed.
	Foreign model.Resources
	// Tentative is what a gang that is being placed will commit.
	Tentative model.Resources
	// Tasks are the tasks with a live attempt here.
	Tasks []*Task
	// Reachable, Out and Full are facts: the endpoint answers, operators have
	// taken it out, and it has rejected a start since its last report.
	Reachable, Out, Full bool
	// Health counts failures.
	Health quarantine.Health
	// Unhealthy says that the endpoint is quarantined or probed.
	Unhealthy bool
	// ProbeAt is when the quarantine ends with a probe.
	ProbeAt time.Time
	// ProbeAfter is the length of the next quarantine.
	ProbeAfter time.Duration
	// ReservedFor is the job that the endpoint's room is kept for.
	ReservedFor *Job
	// ReservedStart is when the reservation's job is expected to start.
	ReservedStart time.Time
	// ReservedTier is the tier that the job had in the order.
	ReservedTier int
	// ReservationExpires is when the reservation lapses.
	ReservationExpires time.Time
	// Probe is the task that probes the endpoint.
	Probe *Task
	// Leaf is the endpoint's place in the placement's order.
	Leaf int
	// Changed says that the endpoint has gained room since the last plan.
	Changed bool

	state chart.State
}

// Rack is a rack with a scratch count of one job's tasks.
type Rack struct {
	// Name names the rack.
	Name model.RackName
	// Count is the number of tasks of the job that is being placed.
	Count int
}

// nodeMachine is the chart of endpoints.
var nodeMachine = chart.MustBind(charts.MustLoad("endpoint"),
	chart.Guards[Node]{
		"closed":    (*Node).closed,
		"unhealthy": func(n *Node) bool { return n.Unhealthy },
	},
	chart.Actions[Node]{
		"set_unhealthy":     func(n *Node) { n.Unhealthy = true },
		"clear_unhealthy":   (*Node).clearUnhealthy,
		"reset_probe_time":  func(n *Node) { n.ProbeAt = time.Time{} },
		"extend_quarantine": func(n *Node) { n.ProbeAfter = min(2*n.ProbeAfter, maxProbeAfter) },
	})

// maxProbeAfter is the longest time between two probes of an endpoint.
const maxProbeAfter = 10 * time.Minute

// The events of endpoints.
var (
	// Reevaluate says that a fact about the endpoint has changed.
	Reevaluate = nodeMachine.MustEvent("reevaluate")
	// MarkUnhealthy says that the endpoint fails what it starts.
	MarkUnhealthy = nodeMachine.MustEvent("mark_unhealthy")
	// ProbeDue says that the endpoint may be probed.
	ProbeDue = nodeMachine.MustEvent("probe_due")
	// ProbePassed says that a probe has succeeded.
	ProbePassed = nodeMachine.MustEvent("probe_passed")
	// ProbeFailed says that a probe has failed.
	ProbeFailed = nodeMachine.MustEvent("probe_failed")

	openNodes        = nodeMachine.MustSet("open")
	probedNodes      = nodeMachine.MustSet("probing")
	quarantinedNodes = nodeMachine.MustSet("quarantined")
)

// NewNode returns a node that is not reachable yet.
func NewNode(info model.EndpointInfo, rack *Rack, probeAfter time.Duration) *Node {
	n := &Node{Info: info, Rack: rack, ProbeAfter: probeAfter}
	nodeMachine.Start(&n.state, n)
	return n
}

// Fire hands the event to the endpoint's life cycle.
func (n *Node) Fire(e Event) bool { return nodeMachine.Fire(&n.state, e, n) }

func (n *Node) closed() bool { return !n.Reachable || n.Out || n.Info.Leaving }

func (n *Node) clearUnhealthy() {
	n.Unhealthy = false
	n.Health = quarantine.Health{}
}

// Open reports whether the endpoint takes starts.
func (n *Node) Open() bool { return openNodes.Has(n.state) }

// Probing reports whether the endpoint takes one start as a probe.
func (n *Node) Probing() bool { return probedNodes.Has(n.state) }

// Quarantined reports whether the endpoint waits for a probe.
func (n *Node) Quarantined() bool { return quarantinedNodes.Has(n.state) }

// FreeCapacity is the room that is neither committed nor used. It may be negative.
func (n *Node) FreeCapacity() model.Resources {
	free := n.Info.Capacity
	for i := range free {
		free[i] -= n.Committed[i] + n.Excess[i] + n.Foreign[i] + n.Tentative[i]
	}
	return free
}

// noCapacity is the room of an endpoint that takes no starts.
var noCapacity = model.Resources{-1, -1, -1, -1, -1}

// Room is Free, or less than nothing when the endpoint takes no starts.
func (n *Node) Room() model.Resources {
	if n.Full || !n.Open() && !(n.Probing() && n.Probe == nil) {
		return noCapacity
	}
	return n.FreeCapacity()
}

// Attach adds a live task.
func (n *Node) Attach(t *Task) {
	t.Node, t.NodeIndex = n, len(n.Tasks)
	n.Tasks = append(n.Tasks, t)
	n.Committed = n.Committed.Add(t.Size)
}

// Detach removes a live task.
func (n *Node) Detach(t *Task) {
	last := len(n.Tasks) - 1
	n.Tasks[t.NodeIndex] = n.Tasks[last]
	n.Tasks[t.NodeIndex].NodeIndex = t.NodeIndex
	n.Tasks[last] = nil
	n.Tasks = n.Tasks[:last]
	n.Committed = n.Committed.Sub(t.Size)
	n.Excess = n.Excess.Sub(t.Excess)
	t.Excess = model.Resources{}
	t.Node = nil
}

// Want is what an endpoint is looked for.
type Want struct {
	// Now is the time of the decision.
	Now time.Time
	// Task is the task to be placed.
	Task *Task
	// Size is what it commits.
	Size model.Resources
	// ExpectedEnd is when it is expected to end.
	ExpectedEnd time.Time
	// RackLevel is the most tasks of the job that the rack may have already.
	RackLevel int
}

// Allows reports whether the endpoint may be used, room aside.
func (w *Want) Allows(n *Node) bool {
	j := w.Task.Job
	if n.Rack.Count > w.RackLevel || w.Task.Avoids(n.Info.ID) {
		return false
	}
	if n.Probing() && (j.Gang() || !j.Repeatable()) {
		return false
	}
	if n.ReservedFor == nil || n.ReservedFor == j || j.Queue.Key.Tier < n.ReservedTier {
		return true
	}
	return !w.ExpectedEnd.After(n.ReservedStart)
}
