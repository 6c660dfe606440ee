package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/quarantine"
)

// Node is the scheduler's state of one endpoint.
type Node struct {
	// Info is the endpoint's description as last set.
	Info model.EndpointInfo
	Rack *Rack
	// Committed is the total size of the live attempts.
	Committed model.Resources
	// Excess is the reported usage above the committed sizes, summed over the
	// attempts.
	Excess model.Resources
	// Foreign is the size or usage, whichever is larger, of reported attempts
	// that this scheduler has not placed.
	Foreign model.Resources
	// Tentative is the size of the tasks already assigned here while endpoints
	// for the rest of a gang are being searched.
	Tentative model.Resources
	// Tasks are the tasks with a live attempt here.
	Tasks []*Task
	// Reachable is set while the endpoint responds, Out when operators have
	// taken it out of service, and Full when it has rejected a start since its
	// last report.
	Reachable, Out, Full bool
	// Health records failures of attempts.
	Health quarantine.Health
	// Unhealthy is set from the start of a quarantine until a probe passes.
	Unhealthy bool
	// ProbeAt is when the quarantine ends and a probe is allowed; zero when not
	// set.
	ProbeAt time.Time
	// ProbeAfter is the length of the next quarantine.
	ProbeAfter time.Duration
	// ReservedFor is the job that the endpoint's capacity is reserved for, or
	// nil.
	ReservedFor *Job
	// ReservedStart is the expected start of that job. Tasks expected to end by
	// then may still be placed here.
	ReservedStart time.Time
	// ReservedTier is the tier of the reservation. Jobs of an earlier tier
	// ignore the reservation.
	ReservedTier int
	// ReservationExpires is when the reservation lapses.
	ReservationExpires time.Time
	// Probe is the task that probes the endpoint, or nil.
	Probe *Task
	// Leaf is the endpoint's index in the placement order.
	Leaf int
	// Changed is set while the endpoint is listed as having gained capacity.
	Changed bool

	state chart.State
}

// Rack is a rack with a temporary count of one job's tasks.
type Rack struct {
	Name model.RackName
	// Count is the number of live tasks of the service that is being placed; 0
	// otherwise.
	Count int
}

// nodeMachine is the compiled chart of endpoints.
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

// maxProbeAfter is the maximum length of a quarantine.
const maxProbeAfter = 10 * time.Minute

// The events and state sets of endpoints.
var (
	// Reevaluate is fired when Reachable, Out or Info has changed.
	Reevaluate = nodeMachine.MustEvent("reevaluate")
	// MarkUnhealthy is fired when too many attempts fail on the endpoint.
	MarkUnhealthy = nodeMachine.MustEvent("mark_unhealthy")
	// ProbeDue is fired when the quarantine has ended and the endpoint may be
	// probed.
	ProbeDue = nodeMachine.MustEvent("probe_due")
	// ProbePassed is fired when a probe has succeeded.
	ProbePassed = nodeMachine.MustEvent("probe_passed")
	// ProbeFailed is fired when a probe has failed.
	ProbeFailed = nodeMachine.MustEvent("probe_failed")

	openNodes        = nodeMachine.MustSet("open")
	probedNodes      = nodeMachine.MustSet("probing")
	quarantinedNodes = nodeMachine.MustSet("quarantined")
)

// NewNode returns an endpoint in state closed: it is not reachable yet.
func NewNode(info model.EndpointInfo, rack *Rack, probeAfter time.Duration) *Node {
	n := &Node{Info: info, Rack: rack, ProbeAfter: probeAfter}
	nodeMachine.Start(&n.state, n)
	return n
}

// Fire fires an event of the endpoint's chart and reports whether it had an
// effect.
func (n *Node) Fire(e Event) bool { return nodeMachine.Fire(&n.state, e, n) }

func (n *Node) closed() bool { return !n.Reachable || n.Out || n.Info.Leaving }

func (n *Node) clearUnhealthy() {
	n.Unhealthy = false
	n.Health = quarantine.Health{}
}

// Open reports whether the endpoint accepts starts without restriction.
func (n *Node) Open() bool { return openNodes.Has(n.state) }

// Probing reports whether the endpoint accepts a single start as a probe.
func (n *Node) Probing() bool { return probedNodes.Has(n.state) }

// Quarantined reports whether the endpoint is excluded until a probe is due.
func (n *Node) Quarantined() bool { return quarantinedNodes.Has(n.state) }

// FreeCapacity returns the capacity that is neither committed nor used. It may
// be negative.
func (n *Node) FreeCapacity() model.Resources {
	free := n.Info.Capacity
	for i := range free {
		free[i] -= n.Committed[i] + n.Excess[i] + n.Foreign[i] + n.Tentative[i]
	}
	return free
}

// noCapacity is the capacity of an endpoint that accepts no starts: it fits no
// size, not even zero.
var noCapacity = model.Resources{-1, -1, -1, -1, -1}

// AvailableCapacity returns the capacity available to starts: FreeCapacity, or a negative
// amount when the endpoint accepts no starts.
func (n *Node) AvailableCapacity() model.Resources {
	if n.Full || !n.Open() && !(n.Probing() && n.Probe == nil) {
		return noCapacity
	}
	return n.FreeCapacity()
}

// Attach adds a live task and commits its size.
func (n *Node) Attach(t *Task) {
	t.Node, t.NodeIndex = n, len(n.Tasks)
	n.Tasks = append(n.Tasks, t)
	n.Committed = n.Committed.Add(t.Size)
}

// Detach removes a live task and releases its size and excess.
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

// PlacementQuery describes the endpoint to search for.
type PlacementQuery struct {
	// Now is the time of the decision.
	Now time.Time
	// Task is the task to be placed.
	Task *Task
	// Size is the size that the task commits.
	Size model.Resources
	// ExpectedEnd is when the attempt is expected to end.
	ExpectedEnd time.Time
	// RackLevel is the maximum number of tasks of the job that the rack may
	// already have.
	RackLevel int
}

// Allows reports whether the endpoint may be used, regardless of its free
// capacity.
func (w *PlacementQuery) Allows(n *Node) bool {
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
