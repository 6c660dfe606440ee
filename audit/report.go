package audit

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Violation is one violation of a guarantee.
type Violation struct {
	// Rule is the violated guarantee.
	Rule Rule `json:"rule"`
	// Time is the time of the record that shows the violation.
	Time time.Time `json:"time"`
	// Subject is the name of the endpoint, attempt, team or request.
	Subject string `json:"subject"`
	// Detail is a one-sentence description.
	Detail string `json:"detail"`
}

// Counts are the numbers of records that a report is based on.
type Counts struct {
	// Starts is the number of started attempts.
	Starts int `json:"starts"`
	// Ends is the number of ended attempts.
	Ends int `json:"ends"`
	// Lapses is the number of attempts that ended as lapsed.
	Lapses int `json:"lapses"`
	// Fenced is the number of commands refused because of a lower epoch.
	Fenced int `json:"fenced"`
	// Configs is the number of configurations.
	Configs int `json:"configs"`
	// Requests is the number of callers' requests.
	Requests int `json:"requests"`
	// Accepted is the number of requests that were accepted.
	Accepted int `json:"accepted"`
	// Answered is the number of requests with a final answer.
	Answered int `json:"answered"`
}

// Report is the result of Check.
type Report struct {
	// Violations are sorted by time.
	Violations []Violation `json:"violations"`
	Counts     Counts      `json:"counts"`
}

// OK reports whether there are no violations.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Of returns the violations of the rule.
func (r *Report) Of(rule Rule) []Violation {
	var found []Violation
	for _, v := range r.Violations {
		if v.Rule == rule {
			found = append(found, v)
		}
	}
	return found
}

// Write writes the report as text: a summary line, then one line per violation.
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
