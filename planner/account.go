package planner

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// WaitCause is what an open step with pending tasks waits for.
type WaitCause int

// The causes of waiting.
const (
	// WaitTurn means that other steps go first: the step has not been tried.
	WaitTurn WaitCause = iota
	// WaitAdvice means that the step has no usable answer of the advice service.
	WaitAdvice
	// WaitCapacity means that the endpoints that may run the step are full.
	WaitCapacity
	// WaitLimit means that the team is at its limit.
	WaitLimit
	// WaitMembers means that members of the gang's previous run have not ended.
	WaitMembers
	waitCauses
)

var waitCauseNames = [waitCauses]string{"turn", "advice", "capacity", "limit", "members"}

// String returns the name of the cause in logs and metrics.
func (c WaitCause) String() string { return waitCauseNames[c] }

// Waits is the time that steps have waited, by WaitCause.
type Waits [waitCauses]time.Duration

// Timeliness compares the end of a job with the objective that was derived from
// its estimates, or from expected run times with LearnedEstimates.
type Timeliness string

// The values of Timeliness.
const (
	// InTime means that the job met its objective.
	InTime Timeliness = "in_time"
	// Late means that it missed its objective and its result was still of use.
	Late Timeliness = "late"
	// Overdue means that its result came too late to be of use.
	Overdue Timeliness = "overdue"
	// Untimed applies to jobs without an objective.
	Untimed Timeliness = "untimed"
)

// Account is what happened to a job until it ended, within this epoch.
type Account struct {
	Timeliness Timeliness
	// Surplus is set when the team had exceeded its weight.
	Surplus bool
	// Waits sums the waits of the job's steps.
	Waits Waits
	// Preemptions counts its runs that were stopped for more urgent work,
	// FailedRuns those that failed.
	Preemptions, FailedRuns int
}

// QueueUse is what the planner has done for a queue since the start of the epoch.
type QueueUse struct {
	// Reserved is the time that capacity was reserved for runs that had not been
	// sent, in core-milliseconds. Withdrawn is the part of it whose reservations
	// were withdrawn, WithdrawnRuns their number.
	Reserved, Withdrawn float64
	WithdrawnRuns       int
	// Preempted counts the queue's runs that were stopped for other queues,
	// PreemptedFor the runs of others that were stopped for it. LostWork is the
	// work of its preempted runs that no checkpoint preserves, in core-milliseconds.
	Preempted, PreemptedFor int
	LostWork                float64
	// GangsOverShare counts the rounds in which a gang was not placed because other gangs
	// that wait for stops used up gangStopShare, GangsExpired the gangs whose reservations
	// were withdrawn because a ticket had expired.
	GangsOverShare, GangsExpired int
	// Relocated counts the queue's runs that were moved off slow endpoints, RelocationLoss
	// is their work that no checkpoint preserves, in core-milliseconds.
	Relocated      int
	RelocationLoss float64
	// AdviceRequests counts the queue's advice requests, AdviceTime sums the time
	// that the advice service needs for them.
	AdviceRequests int
	AdviceTime     time.Duration
}

// QueueStats describes the unfinished jobs of a queue, and its use of the cell.
type QueueStats struct {
	Queue jobs.QueueName
	// Jobs counts unfinished jobs; the jobs with a waiting step are counted by the
	// urgency of their first one.
	Jobs, InTime, Surplus, Overdue int
	// Waiting counts the waiting steps by WaitCause, Waited sums their waits.
	Waiting [waitCauses]int
	Waited  Waits
	// CPUUsed is the processors of dispatched runs, CPUReserved that of
	// reservations, in thousandths of a processor.
	CPUUsed, CPUReserved int64
	QueueUse
}

// waitFor records what the step waits for from now on.
func (s *step) waitFor(cause WaitCause) {
	s.addWait()
	s.waitCause = cause
}

// addWait adds the time since the last call to the step's current cause.
func (s *step) addWait() {
	now := s.job.p.now
	if len(s.pending) > 0 && !s.waitedUntil.IsZero() {
		s.job.waits[s.waitCause] += now.Sub(s.waitedUntil)
	}
	s.waitedUntil = now
}

// account returns the job's account at its end.
func (j *job) account() Account {
	a := Account{Timeliness: j.timeliness(), Surplus: j.surplus, Waits: j.waits, Preemptions: j.preemptions}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			a.FailedRuns += len(t.failedRuns)
		}
	}
	return a
}

// timeliness rates the current time as the time of the job's end. Scheduled and
// lasting jobs have no single objective and count as untimed.
func (j *job) timeliness() Timeliness {
	queue := j.p.queueOf(j)
	if queue == nil || j.Occurrences > 0 {
		return Untimed
	}
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return Untimed
		}
	}
	objective := queue.JobObjective(j.expectedJob(0, 0))
	switch took := j.p.now.Sub(j.accepted); {
	case took <= objective:
		return InTime
	case took <= catalog.OverdueFactor*objective:
		return Late
	default:
		return Overdue
	}
}

// useOf returns the queue's use of the cell, creating it if there is none.
func (p *Planner) useOf(name jobs.QueueName) *QueueUse {
	use := p.use[name]
	if use == nil {
		use = &QueueUse{}
		p.use[name] = use
	}
	return use
}

// recordReservation adds a reservation that has ended. It was withdrawn if its run
// has been sent to no endpoint.
func (p *Planner) recordReservation(r *run, withdrawn bool) {
	work := float64(r.size[model.CPU]) * float64(p.now.Sub(r.enteredAt).Milliseconds()) / 1000
	use := p.useOf(r.task.step.job.Queue)
	use.Reserved += work
	if withdrawn {
		use.Withdrawn += work
		use.WithdrawnRuns++
	}
}

// recordPreemption adds the stop of a run for a step of another job.
func (p *Planner) recordPreemption(s *step, r *run) {
	r.task.step.job.preemptions++
	use := p.useOf(r.task.step.job.Queue)
	use.Preempted++
	use.LostWork += p.lostWork(r)
	p.useOf(s.job.Queue).PreemptedFor++
}

// QueueStats returns the state of each queue that has jobs or has used the cell, in
// the order of their names.
func (p *Planner) QueueStats() []QueueStats {
	byQueue := map[jobs.QueueName]*QueueStats{}
	statsOf := func(name jobs.QueueName) *QueueStats {
		if byQueue[name] == nil {
			byQueue[name] = &QueueStats{Queue: name}
		}
		return byQueue[name]
	}
	for name, use := range p.use {
		statsOf(name).QueueUse = *use
	}
	for _, j := range p.jobs {
		if !j.closing() {
			statsOf(j.Queue).addJob(j)
		}
	}
	for _, r := range p.runs {
		stats := statsOf(r.task.step.job.Queue)
		if r.state == runReserved {
			stats.CPUReserved += r.size[model.CPU]
		} else {
			stats.CPUUsed += r.size[model.CPU]
		}
	}
	list := make([]QueueStats, 0, len(byQueue))
	for _, stats := range byQueue {
		list = append(list, *stats)
	}
	slices.SortFunc(list, func(a, b QueueStats) int { return strings.Compare(string(a.Queue), string(b.Queue)) })
	return list
}

// addJob adds an unfinished job.
func (q *QueueStats) addJob(j *job) {
	q.Jobs++
	counted := false
	for _, s := range j.steps {
		if s.state != stepOpen || len(s.pending) == 0 {
			continue
		}
		s.addWait()
		q.Waiting[s.waitCause]++
		if !counted {
			counted = true
			j.p.updateRank(s)
			q.countUrgency(s.rank.urgency)
		}
	}
	for cause, waited := range j.waits {
		q.Waited[cause] += waited
	}
}

func (q *QueueStats) countUrgency(u urgency) {
	switch u {
	case inTime, relaxed:
		q.InTime++
	case surplus, urgentSurplus:
		q.Surplus++
	case overdue:
		q.Overdue++
	}
}
