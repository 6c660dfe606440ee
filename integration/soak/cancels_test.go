package soak_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

const (
	// cancelBound is the time after the acknowledgement of a cancel after which no task
	// of the job starts: cancel_ms of the platform's page.
	cancelBound = 3 * time.Second
	// stopBound is the time after cancelBound for which a task of the job may go on:
	// stop-ms of the platform's page.
	stopBound = 400 * time.Millisecond
	// contactTime is the time after a disruption for which calls may fail because of it:
	// contact-ms of the platform's page.
	contactTime = 3 * time.Second
	// cancelRetryPause is the longest pause between two attempts to cancel a job.
	cancelRetryPause = 200 * time.Millisecond
)

// acknowledgement is the response to a cancel.
type acknowledgement struct {
	at           time.Time
	status, node int
	state        string
}

// cancel cancels the job through nodes other than the given one until one acknowledges
// it, at the latest when the accepted jobs have to have ended.
func (r *run) cancel(id string, other int, rng *rand.Rand, after time.Duration) {
	time.Sleep(after)
	for !r.stopped() && time.Now().Before(r.end.Add(settleTime)) {
		node := (other + 1 + rng.IntN(nodes-1)) % nodes
		status, state := r.site.Call(node, http.MethodDelete, id, nil)
		if status/100 == 2 || status == http.StatusGone {
			r.mu.Lock()
			r.cancelled[id] = &acknowledgement{at: time.Now(), status: status, node: node, state: state}
			r.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(cancelRetryPause))))
	}
}

// awaitStart waits until a task of the job has started, at most until the end of the
// faults.
func (r *run) awaitStart(id string) {
	for !r.isOver() && !r.site.Checker.Started(id) {
		time.Sleep(cancelRetryPause / 4)
	}
}

// acknowledged returns the acknowledgement of the job's cancel; nil for none.
func (r *run) acknowledged(id string) *acknowledgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled[id]
}

// unasked describes each start of a task of a cancelled job after cancelBound, and each
// run of one that went on after goneBy.
func (r *run) unasked() []string {
	var found []string
	outages := r.outagesSoFar()
	for _, t := range r.site.Checker.Runs() {
		ack := r.acknowledged(t.Task[:len(sampleJob.id)])
		if ack == nil {
			continue
		}
		ended := t.Ended
		if ended.IsZero() {
			ended = time.Now()
		}
		switch {
		case t.Began.Sub(ack.at) > cancelBound:
			found = append(found, describe(t, ack, "started"))
		case ended.After(goneBy(ack.at, outages)):
			found = append(found, describe(t, ack, "went on"))
		}
	}
	return found
}

// goneBy returns the time by which the tasks of a job have ended whose cancel was
// acknowledged at the given time: the end of the first stretch of cancelBound and
// stopBound without a disruption of the table in it or up to contactTime before it. Rule
// UNASKED of the platform's page demands the end of a run with no disruption near, and
// counts a core as stable contactTime after one: meanwhile there may be no holder that
// could stop the run.
func goneBy(acknowledged time.Time, outages []outage) time.Time {
	const stretch = cancelBound + stopBound
	gone := acknowledged.Add(stretch)
	for moved := true; moved; {
		moved = false
		for _, o := range outages {
			if o.from.Before(gone) && o.to.Add(contactTime+stretch).After(gone) {
				gone, moved = o.to.Add(contactTime+stretch), true
			}
		}
	}
	return gone
}

// latest describes how late tasks of cancelled jobs started and ended.
func (r *run) latest() string {
	var ended time.Duration
	started, after, last := time.Duration(0), 0, "none"
	for _, t := range r.site.Checker.Runs() {
		ack := r.acknowledged(t.Task[:len(sampleJob.id)])
		if ack == nil {
			continue
		}
		ended = max(ended, t.Ended.Sub(ack.at))
		if late := t.Began.Sub(ack.at); late > 0 {
			after++
			if late > started {
				started, last = late, describe(t, ack, "started")
			}
		}
	}
	return fmt.Sprintf("%d starts after a cancel, the latest end %.1f s after; the latest start: %s", after, ended.Seconds(), last)
}

func describe(t platformtest.Run, ack *acknowledgement, what string) string {
	ended := "in progress"
	if !t.Ended.IsZero() {
		ended = fmt.Sprintf("%s at %+.3f s", t.Outcome, t.Ended.Sub(ack.at).Seconds())
	}
	return fmt.Sprintf("%s %s run %d of epoch %d at %s: started at %s, %+.3f s, %s; cancel acknowledged by node%d at %s: %d %s",
		what, t.Task, t.Number, t.Epoch, t.Endpoint, t.Began.UTC().Format("05.000"), t.Began.Sub(ack.at).Seconds(), ended,
		ack.node, ack.at.UTC().Format("05.000"), ack.status, ack.state)
}

// traceLines is the largest number of lines of logs in a trace.
const traceLines = 400

// trace returns the lines of the logs that concern the jobs of the findings, who holds
// the cell and the processes, in the order of their times, and the faults.
func (r *run) trace(findings []string) string {
	var words []string
	for _, text := range findings {
		job := strings.Fields(strings.TrimPrefix(text, "went on "))
		for _, field := range job {
			if id, _, found := strings.Cut(field, "."); found && len(id) == len(sampleJob.id) {
				words = append(words, id)
				break
			}
		}
	}
	words = append(words[:min(len(words), 3)], "election_state", "process_state", "process_st", "agent_follows", "endpoint_")
	var lines []string
	for i, n := range r.site.Nodes {
		scanner := bufio.NewScanner(strings.NewReader(n.Log()))
		for scanner.Scan() {
			line := scanner.Text()
			if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
				lines = append(lines, fmt.Sprintf("%s node%d", line, i))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(findings, "\n") + "\n" + strings.Join(lines[max(0, len(lines)-traceLines):], "\n") + "\n" + r.faultLog()
}
