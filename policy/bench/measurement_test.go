package bench_test

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
)

// The bounds of a measurement.
const (
	// longest is the longest wait that is told apart.
	longest = int64(24 * time.Hour / time.Millisecond)
	// shareWindow is the number of samples that a share is averaged over.
	shareWindow = 60
	// fullUse is the use from which the cell counts as full.
	fullUse = 0.9
)

// classResult is what a class has got.
type classResult struct {
	waits    *hdrhistogram.Histogram
	accepted int
	late     int
	refused  int
	ended    int
}

// measurement is what a run shows.
type measurement struct {
	deployment  *deployment
	total       model.Resources
	classes     map[model.ClassName]*classResult
	started     map[model.RequestID]bool
	used        float64
	samples     int
	waiting     []int
	window      [][]float64
	shareErrors []float64
	useful      float64
	wasted      float64
	outOfMemory int
	starts      []policy.Start
}

func newMeasurement(d *deployment) *measurement {
	m := &measurement{
		deployment: d,
		total:      d.capacity.Scale(int64(d.workers)),
		classes:    map[model.ClassName]*classResult{},
		started:    map[model.RequestID]bool{},
		waiting:    make([]int, len(d.shares)),
	}
	for _, s := range d.streams {
		m.classes[s.class.Name] = &classResult{waits: hdrhistogram.New(1, longest, 3)}
	}
	return m
}

func (m *measurement) of(j *job) *classResult { return m.classes[j.request.Spec.Class] }

func (m *measurement) refuse(j *job) {
	m.of(j).refused++
}

// begin notes the first start of a request.
func (m *measurement) begin(now time.Time, a *attempt) {
	id := a.job.request.ID
	if m.started[id] {
		return
	}
	m.started[id] = true
	m.waiting[a.job.team]--
	waited := now.Sub(a.job.request.Accepted)
	c := m.of(a.job)
	_ = c.waits.RecordValue(max(1, waited.Milliseconds()))
	class, _ := m.deployment.config().Class(a.job.request.Spec.Class)
	if waited > class.MaxWait {
		c.late++
	}
}

// end notes a request that ended without having run.
func (m *measurement) end(j *job, e policy.Ending) {
	if !m.started[j.request.ID] {
		m.waiting[j.team]--
	}
	if e.Code == result.OK {
		m.of(j).ended++
		return
	}
	m.of(j).refused++
}

// finish adds the work of an attempt to the useful or to the wasted.
func (m *measurement) finish(now time.Time, a *attempt, outcome model.Outcome) {
	work := a.job.usage.DominantShare(m.total) * now.Sub(a.began).Seconds()
	if outcome == model.Succeeded || outcome == model.Checkpointed {
		m.useful += work
		return
	}
	m.wasted += work
}

// sample takes the use of the cell and of each team.
func (m *measurement) sample(r *run) {
	var used model.Resources
	teams := make([]model.Resources, len(m.deployment.shares))
	for _, attempts := range r.running {
		for _, a := range attempts {
			used = used.Add(a.start.Size)
			teams[a.job.team] = teams[a.job.team].Add(a.start.Size)
		}
	}
	m.samples++
	m.used += used.DominantShare(m.total)
	if used.DominantShare(m.total) < fullUse || !m.everyTeamWaits() {
		m.window = m.window[:0]
		return
	}
	shares := make([]float64, len(teams))
	for i := range teams {
		shares[i] = teams[i].DominantShare(m.total)
	}
	m.window = append(m.window, shares)
	if len(m.window) == shareWindow {
		m.shareErrors = append(m.shareErrors, m.shareError())
		m.window = m.window[:0]
	}
}

// everyTeamWaits reports whether each team has requests that wait: only then
// is its use a matter of its share.
func (m *measurement) everyTeamWaits() bool {
	for _, waiting := range m.waiting {
		if waiting == 0 {
			return false
		}
	}
	return true
}

// shareError is the largest difference between a team's part of the use and
// its share, over the window.
func (m *measurement) shareError() float64 {
	sums, all, entitled := make([]float64, len(m.deployment.shares)), 0.0, int64(0)
	for _, shares := range m.window {
		for i, share := range shares {
			sums[i] += share
			all += share
		}
	}
	for _, share := range m.deployment.shares {
		entitled += share
	}
	worst := 0.0
	for i, share := range m.deployment.shares {
		worst = max(worst, math.Abs(sums[i]/all-float64(share)/float64(entitled)))
	}
	return worst
}

// close counts the requests that never started as late.
func (m *measurement) close(r *run) {
	for _, j := range r.jobs {
		if !m.started[j.request.ID] && r.now.Sub(j.request.Accepted) > m.longestWait(j) {
			m.of(j).late++
		}
	}
}

func (m *measurement) longestWait(j *job) time.Duration {
	class, _ := m.deployment.config().Class(j.request.Spec.Class)
	return class.MaxWait
}

// packing is the mean use of the cell's scarcest resource.
func (m *measurement) packing() float64 { return m.used / float64(max(1, m.samples)) }

// meanShareError is the mean of the share errors of the full minutes after
// the first quarter of the run, NaN when there was none.
func (m *measurement) meanShareError() float64 {
	counted := m.shareErrors[len(m.shareErrors)/4:]
	sum := 0.0
	for _, e := range counted {
		sum += e
	}
	return sum / float64(len(counted))
}

// waste is the part of the work that was done for nothing.
func (m *measurement) waste() float64 { return m.wasted / max(m.useful+m.wasted, 1e-9) }
