package bench_test

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
)

// The limits of a measurement.
const (
	// maxRecordedWaitMS is the maximum wait that the histograms record, in
	// milliseconds.
	maxRecordedWaitMS = int64(24 * time.Hour / time.Millisecond)
	// shareWindowSamples is the number of samples over which usage is averaged
	// before it is compared with the shares.
	shareWindowSamples = 60
	// fullUtilization is the utilization from which the cell counts as full.
	fullUtilization = 0.9
)

// classResult holds the waits and counts the requests of one class.
type classResult struct {
	waits     *hdrhistogram.Histogram
	accepted  int
	late      int
	refused   int
	succeeded int
}

// measurement holds the results of a simulation.
type measurement struct {
	deployment       *deployment
	capacity         model.Resources
	classes          map[model.ClassName]*classResult
	started          map[model.RequestID]bool
	utilizationSum   float64
	samples          int
	waitingByTeam    []int
	shareSamples     [][]float64
	shareErrors      []float64
	usefulWork       float64
	wastedWork       float64
	outOfMemoryKills int
	starts           []policy.Start
}

func newMeasurement(d *deployment) *measurement {
	m := &measurement{
		deployment:    d,
		capacity:      d.capacity.Scale(int64(d.endpointCount)),
		classes:       map[model.ClassName]*classResult{},
		started:       map[model.RequestID]bool{},
		waitingByTeam: make([]int, len(d.shares)),
	}
	for _, s := range d.streams {
		m.classes[s.class.Name] = &classResult{waits: hdrhistogram.New(1, maxRecordedWaitMS, 3)}
	}
	return m
}

func (m *measurement) classOf(j *job) *classResult { return m.classes[j.request.Spec.Class] }

func (m *measurement) recordRejected(j *job) {
	m.classOf(j).refused++
}

// recordStart records the wait of a request at its first start.
func (m *measurement) recordStart(now time.Time, a *attempt) {
	id := a.job.request.ID
	if m.started[id] {
		return
	}
	m.started[id] = true
	m.waitingByTeam[a.job.team]--
	waited := now.Sub(a.job.request.Accepted)
	c := m.classOf(a.job)
	_ = c.waits.RecordValue(max(1, waited.Milliseconds()))
	class, _ := m.deployment.config().Class(a.job.request.Spec.Class)
	if waited > class.MaxWait {
		c.late++
	}
}

// recordEnding counts an ended request. Every code other than result.OK counts
// as refused.
func (m *measurement) recordEnding(j *job, e policy.Ending) {
	if !m.started[j.request.ID] {
		m.waitingByTeam[j.team]--
	}
	if e.Code == result.OK {
		m.classOf(j).succeeded++
		return
	}
	m.classOf(j).refused++
}

// recordFinish adds the work of an attempt to the useful work if it succeeded or
// was checkpointed, else to the wasted work.
func (m *measurement) recordFinish(now time.Time, a *attempt, outcome model.Outcome) {
	work := a.job.usage.DominantShare(m.capacity) * now.Sub(a.startedAt).Seconds()
	if outcome == model.Succeeded || outcome == model.Checkpointed {
		m.usefulWork += work
		return
	}
	m.wastedWork += work
}

// sample records the utilization of the cell and, while the cell is full and
// requests of every team wait, the usage of each team.
func (m *measurement) sample(sim *simulation) {
	var used model.Resources
	teams := make([]model.Resources, len(m.deployment.shares))
	for _, attempts := range sim.running {
		for _, a := range attempts {
			used = used.Add(a.start.Size)
			teams[a.job.team] = teams[a.job.team].Add(a.start.Size)
		}
	}
	m.samples++
	m.utilizationSum += used.DominantShare(m.capacity)
	if used.DominantShare(m.capacity) < fullUtilization || !m.allTeamsWaiting() {
		m.shareSamples = m.shareSamples[:0]
		return
	}
	shares := make([]float64, len(teams))
	for i := range teams {
		shares[i] = teams[i].DominantShare(m.capacity)
	}
	m.shareSamples = append(m.shareSamples, shares)
	if len(m.shareSamples) == shareWindowSamples {
		m.shareErrors = append(m.shareErrors, m.maxShareError())
		m.shareSamples = m.shareSamples[:0]
	}
}

// allTeamsWaiting reports whether every team has waiting requests. Only then
// does its share determine its usage.
func (m *measurement) allTeamsWaiting() bool {
	for _, waiting := range m.waitingByTeam {
		if waiting == 0 {
			return false
		}
	}
	return true
}

// maxShareError returns the largest difference, over all teams, between the
// team's fraction of the sampled usage and its share.
func (m *measurement) maxShareError() float64 {
	sums, total, totalShares := make([]float64, len(m.deployment.shares)), 0.0, int64(0)
	for _, shares := range m.shareSamples {
		for i, share := range shares {
			sums[i] += share
			total += share
		}
	}
	for _, share := range m.deployment.shares {
		totalShares += share
	}
	largest := 0.0
	for i, share := range m.deployment.shares {
		largest = max(largest, math.Abs(sums[i]/total-float64(share)/float64(totalShares)))
	}
	return largest
}

// countNeverStarted counts as late the requests that never started and have
// exceeded the maximum wait of their class.
func (m *measurement) countNeverStarted(sim *simulation) {
	for _, j := range sim.jobs {
		if !m.started[j.request.ID] && sim.now.Sub(j.request.Accepted) > m.maxWait(j) {
			m.classOf(j).late++
		}
	}
}

func (m *measurement) maxWait(j *job) time.Duration {
	class, _ := m.deployment.config().Class(j.request.Spec.Class)
	return class.MaxWait
}

// packing returns the mean utilization of the cell's most utilized resource.
func (m *measurement) packing() float64 { return m.utilizationSum / float64(max(1, m.samples)) }

// meanShareError returns the mean of the share errors of all complete windows,
// each one minute long, without the first quarter of them; NaN when there are
// none.
func (m *measurement) meanShareError() float64 {
	steady := m.shareErrors[len(m.shareErrors)/4:]
	sum := 0.0
	for _, e := range steady {
		sum += e
	}
	return sum / float64(len(steady))
}

// wastedFraction returns the wasted fraction of all work.
func (m *measurement) wastedFraction() float64 {
	return m.wastedWork / max(m.usefulWork+m.wastedWork, 1e-9)
}
