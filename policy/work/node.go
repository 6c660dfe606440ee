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
	// Held is what a gang that is being placed will commit.
	Held model.Resources
	// Tasks are the tasks with a live attempt here.
	Tasks []*Task
	// Reachable, Out and Full are facts: the endpoint answers, operators have
	// taken it out, and it has rejected a start since its last report.
	Reachable, Out, Full bool
	// Health counts failures.
	Health quarantine.Health
	// Sick says that the endpoint is quarantined or probed.
	Sick bool
	// ProbeAt is when the quarantine ends with a probe.
	ProbeAt time.Time
	// ProbeAfter is the length of the next quarantine.
	ProbeAfter time.Duration
	// Reserved is the job that the endpoint's room is kept for.
	Reserved *Job
	// ReservedUntil is when the reservation's job is expected to start.
	ReservedUntil time.Time
	// ReservedTier is the tier that the job had in the order.
	ReservedTier int
	// ReserveEnds is when the reservation lapses.
	ReserveEnds time.Time
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

// nodes is the chart of endpoints.
var nodes = chart.MustBind(charts.MustLoad("endpoint"),
	chart.Guards[Node]{
		"closed": (*Node).closed,
		"sick":   func(n *Node) bool { return n.Sick },
	},
	chart.Actions[Node]{
		"mark_sick":      func(n *Node) { n.Sick = true },
		"clear_sick":     (*Node).clearSick,
		"schedule_probe": func(n *Node) { n.ProbeAt = time.Time{} },
		"lengthen_probe": func(n *Node) { n.ProbeAfter = min(2*n.ProbeAfter, maxProbeAfter) },
	})

// maxProbeAfter is the longest time between two probes of an endpoint.
const maxProbeAfter = 10 * time.Minute

// The events of endpoints.
var (
	// Review says that a fact about the endpoint has changed.
	Review = nodes.MustEvent("review")
	// Sicken says that the endpoint fails what it starts.
	Sicken = nodes.MustEvent("sicken")
	// ProbeDue says that the endpoint may be probed.
	ProbeDue = nodes.MustEvent("probe_due")
	// ProbePassed says that a probe has succeeded.
	ProbePassed = nodes.MustEvent("probe_passed")
	// ProbeFailed says that a probe has failed.
	ProbeFailed = nodes.MustEvent("probe_failed")

	openNodes        = nodes.MustSet("open")
	probedNodes      = nodes.MustSet("probing")
	quarantinedNodes = nodes.MustSet("quarantined")
)

// NewNode returns a node that is not reachable yet.
func NewNode(info model.EndpointInfo, rack *Rack, probeAfter time.Duration) *Node {
	n := &Node{Info: info, Rack: rack, ProbeAfter: probeAfter}
	nodes.Start(&n.state, n)
	return n
}

// Fire hands the event to the endpoint's life cycle.
func (n *Node) Fire(e Event) bool { return nodes.Fire(&n.state, e, n) }

func (n *Node) closed() bool { return !n.Reachable || n.Out || n.Info.Leaving }

func (n *Node) clearSick() {
	n.Sick = false
	n.Health = quarantine.Health{}
}

// Open reports whether the endpoint takes starts.
func (n *Node) Open() bool { return openNodes.Has(n.state) }

// Probing reports whether the endpoint takes one start as a probe.
func (n *Node) Probing() bool { return probedNodes.Has(n.state) }

// Quarantined reports whether the endpoint waits for a probe.
func (n *Node) Quarantined() bool { return quarantinedNodes.Has(n.state) }

// Free is the room that is neither committed nor used. It may be negative.
func (n *Node) Free() model.Resources {
	free := n.Info.Capacity
	for i := range free {
		free[i] -= n.Committed[i] + n.Excess[i] + n.Foreign[i] + n.Held[i]
	}
	return free
}

// closedRoom is the room of an endpoint that takes no starts.
var closedRoom = model.Resources{-1, -1, -1, -1, -1}

// Room is Free, or less than nothing when the endpoint takes no starts.
func (n *Node) Room() model.Resources {
	if n.Full || !n.Open() && !(n.Probing() && n.Probe == nil) {
		return closedRoom
	}
	return n.Free()
}

// Attach adds a live task.
func (n *Node) Attach(t *Task) {
	t.Node, t.Slot = n, len(n.Tasks)
	n.Tasks = append(n.Tasks, t)
	n.Committed = n.Committed.Add(t.Size)
}

// Detach removes a live task.
func (n *Node) Detach(t *Task) {
	last := len(n.Tasks) - 1
	n.Tasks[t.Slot] = n.Tasks[last]
	n.Tasks[t.Slot].Slot = t.Slot
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
	// Ends is when it is expected to end.
	Ends time.Time
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
	if n.Reserved == nil || n.Reserved == j || j.Queue.Key.Tier < n.ReservedTier {
		return true
	}
	return !w.Ends.After(n.ReservedUntil)
}
