package work

import "time"

// noTimer is the index of a timer that is not set.
const noTimer = -1

// Timer is an entry of Timers: the end of a job's window or of a task's
// backoff.
type Timer struct {
	at    time.Time
	index int
	job   *Job
	task  *Task
}

// Timers is a heap of timers, earliest first.
type Timers struct {
	heap []*Timer
}

// Set sets or moves the timer to the given time.
func (s *Timers) Set(t *Timer, at time.Time) {
	t.at = at
	if t.index == noTimer {
		t.index = len(s.heap)
		s.heap = append(s.heap, t)
	}
	s.up(t.index)
	s.down(t.index)
}

// Stop removes the timer. It has no effect on a timer that is not set.
func (s *Timers) Stop(t *Timer) {
	if t.index == noTimer {
		return
	}
	at, last := t.index, len(s.heap)-1
	s.swap(at, last)
	s.heap[last] = nil
	s.heap = s.heap[:last]
	t.index = noTimer
	if at < last {
		s.up(at)
		s.down(at)
	}
}

// Next returns the earliest time; ok is false when no timer is set.
func (s *Timers) Next() (at time.Time, ok bool) {
	if len(s.heap) == 0 {
		return time.Time{}, false
	}
	return s.heap[0].at, true
}

// Pop removes the earliest timer if it is due and returns its job or its task;
// both are nil when none is due.
func (s *Timers) Pop(now time.Time) (*Job, *Task) {
	if len(s.heap) == 0 || s.heap[0].at.After(now) {
		return nil, nil
	}
	t := s.heap[0]
	s.Stop(t)
	return t.job, t.task
}

func (s *Timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.heap[i].at.Before(s.heap[parent].at) {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Timers) down(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s.heap); child++ {
			if s.heap[child].at.Before(s.heap[smallest].at) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		s.swap(i, smallest)
		i = smallest
	}
}

func (s *Timers) swap(i, k int) {
	s.heap[i], s.heap[k] = s.heap[k], s.heap[i]
	s.heap[i].index, s.heap[k].index = i, k
}
