package load

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamworks/hornbeam/audit"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// progressPeriod is the time between progress lines.
	progressPeriod = time.Second
	// maxMicros is the longest duration that a histogram records, in microseconds.
	maxMicros = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of significant digits that the histograms keep.
	significantDigits = 3
	// maxProblems bounds the problems whose text is kept.
	maxProblems = 20
)

// ClassTally counts the requests of one class.
type ClassTally struct {
	Class model.ClassName
	// Sent counts all requests, Accepted those that were accepted; the others count
	// requests by outcome.
	Sent, Accepted, OK, NotRun, Failed, Unknown, Unanswered int
	// Waiting is the time from acceptance to start, Total the time from the first
	// submission to the answer, in microseconds. Both cover requests answered with
	// OK only.
	Waiting, Total *hdrhistogram.Histogram
}

// Result summarises a run.
type Result struct {
	// Classes holds the tallies in the order of the workload.
	Classes []*ClassTally
	// Codes counts the final answers by result code.
	Codes map[result.Code]int
	// LostCalls counts the calls without a reply.
	LostCalls int
	// MaxCallerWait is the longest time that a due request waited for a free caller.
	MaxCallerWait time.Duration
	// Problems describes the first violations, Wrong counts all of them.
	Problems []string
	Wrong    int
	// Interrupted is set when the run was stopped before its end.
	Interrupted bool
}

// tally is the duty that counts results, writes records and prints progress. Its
// blocking writes stall no other duty while its ring has capacity.
type tally struct {
	clock        clock.Clock
	start        time.Time
	nextProgress time.Time
	records      *json.Encoder
	out          io.Writer
	result       *Result
	byClass      map[model.ClassName]*ClassTally
	finished     int
	// err is the first error of writing records.
	err error
}

func newTally(w *Workload, c clock.Clock, records, out io.Writer) *tally {
	t := &tally{
		clock:   c,
		start:   c.Now(),
		records: json.NewEncoder(records),
		out:     out,
		result:  &Result{Codes: map[result.Code]int{}},
		byClass: map[model.ClassName]*ClassTally{},
	}
	t.nextProgress = t.start.Add(progressPeriod)
	for _, s := range w.Streams {
		t.class(model.ClassName(s.Class))
	}
	return t
}

// Handle counts the finished requests of the batch and prints a progress line when
// one is due.
func (t *tally) Handle(batch []completion) time.Duration {
	for i := range batch {
		t.count(&batch[i])
	}
	now := t.clock.Now()
	if !now.Before(t.nextProgress) {
		t.progress(now)
		t.nextProgress = now.Add(progressPeriod)
	}
	return t.nextProgress.Sub(now)
}

func (t *tally) class(name model.ClassName) *ClassTally {
	found := t.byClass[name]
	if found == nil {
		found = &ClassTally{
			Class:   name,
			Waiting: hdrhistogram.New(1, maxMicros, significantDigits),
			Total:   hdrhistogram.New(1, maxMicros, significantDigits),
		}
		t.byClass[name] = found
		t.result.Classes = append(t.result.Classes, found)
	}
	return found
}

func (t *tally) count(d *completion) {
	t.finished++
	if err := t.records.Encode(d.record); err != nil && t.err == nil {
		t.err = err
	}
	t.result.LostCalls += d.lostCalls
	t.result.MaxCallerWait = max(t.result.MaxCallerWait, d.record.Sent.Sub(d.due))
	for _, problem := range Check(&d.record) {
		t.result.Wrong++
		if len(t.result.Problems) < maxProblems {
			t.result.Problems = append(t.result.Problems, fmt.Sprintf("%s %s: %s", d.record.Key, d.record.ID, problem))
		}
	}
	t.countClass(&d.record)
}

func (t *tally) countClass(record *audit.CallerRecord) {
	class := t.class(record.Spec.Class)
	class.Sent++
	if record.Accepted {
		class.Accepted++
	}
	if len(record.Answers) == 0 {
		class.Unanswered++
		return
	}
	answer := record.Answers[0]
	code := result.Code(answer.Code)
	t.result.Codes[code]++
	switch {
	case code == result.OK:
		class.OK++
		observe(class.Waiting, answer.Waited)
		observe(class.Total, record.Answered.Sub(record.Sent))
	case answer.Ran == model.NotRun:
		class.NotRun++
	case answer.Ran == model.DidRun:
		class.Failed++
	default:
		class.Unknown++
	}
}

// observe records the duration, clamped to the histogram's bounds.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func (t *tally) progress(now time.Time) {
	ok, refused, unanswered := 0, 0, 0
	for _, class := range t.result.Classes {
		ok += class.OK
		refused += class.NotRun
		unanswered += class.Unanswered
	}
	fmt.Fprintf(t.out, "%4.0fs  done %d  ok %d  not run %d  unanswered %d  calls lost %d  wrong %d\n",
		now.Sub(t.start).Seconds(), t.finished, ok, refused, unanswered, t.result.LostCalls, t.result.Wrong)
}
