package audit

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Violation is one case in which a promise was broken.
type Violation struct {
	// Rule is the promise.
	Rule Rule `json:"rule"`
	// Time is when it was broken.
	Time time.Time `json:"time"`
	// Subject names the endpoint, task, team or request.
	Subject string `json:"subject"`
	// Detail says in one sentence what was seen.
	Detail string `json:"detail"`
}

// Counts say how much a report is based on.
type Counts struct {
	// Starts is the number of attempts that were started.
	Starts int `json:"starts"`
	// Ends is the number of attempts that ended.
	Ends int `json:"ends"`
	// Lapses is the number of those that a lapsed lease has ended.
	Lapses int `json:"lapses"`
	// Fenced is the number of commands that were fenced.
	Fenced int `json:"fenced"`
	// Configs is the number of configurations.
	Configs int `json:"configs"`
	// Requests is the number of callers' requests.
	Requests int `json:"requests"`
	// Accepted is the number of those that were accepted.
	Accepted int `json:"accepted"`
	// Answered is the number of those that have a final answer.
	Answered int `json:"answered"`
}

// Report is the judgement of a run.
type Report struct {
	// Violations are the broken promises by time.
	Violations []Violation `json:"violations"`
	// Counts say what they are based on.
	Counts Counts `json:"counts"`
}

// OK reports whether no promise was broken.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Of returns the violations of one rule.
func (r *Report) Of(rule Rule) []Violation {
	var found []Violation
	for _, v := range r.Violations {
		if v.Rule == rule {
			found = append(found, v)
		}
	}
	return found
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	c := r.Counts
	_, err := fmt.Fprintf(w,
		"audit: %d starts, %d ends (%d lapsed), %d fenced, %d configurations, %d requests, %d accepted, %d answered, %d violations\n",
		c.Starts, c.Ends, c.Lapses, c.Fenced, c.Configs, c.Requests, c.Accepted, c.Answered, len(r.Violations))
	for _, v := range r.Violations {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "  %s %s: %s: %s\n",
			v.Time.UTC().Format(time.RFC3339Nano), v.Rule, v.Subject, v.Detail)
	}
	return err
}

func (r *Report) add(rule Rule, at time.Time, subject, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{
		Rule: rule, Time: at, Subject: subject, Detail: fmt.Sprintf(format, args...),
	})
}

func (r *Report) sort() {
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return a.Time.Compare(b.Time) })
}
