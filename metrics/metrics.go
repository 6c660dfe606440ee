// Package metrics records durations in histograms by label (a class, a team) and
// publishes their summaries by expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicroseconds and maxMicroseconds bound the recorded durations.
	minMicroseconds = 1
	maxMicroseconds = int64(24 * time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
	// otherLabel is the label for durations of new labels once the limit is
	// reached.
	otherLabel = "other"
)

// Summary is the summary of a histogram. Durations are in microseconds.
type Summary struct {
	// Count is the number of recorded durations.
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Histograms are histograms of durations by label, for a bounded number of labels.
type Histograms struct {
	limit int
	// mu guards byLabel: one duty records while expvar's handler reads.
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// NewHistograms returns histograms for at most limit labels; durations of further
// labels are recorded under "other". They are published under the given name in
// the expvar map "histograms".
func NewHistograms(name string, limit int) *Histograms {
	h := &Histograms{limit: limit, byLabel: map[string]*hdrhistogram.Histogram{}}
	histogramVars.Set(name, expvar.Func(func() any { return h.Summaries() }))
	return h
}

// histogramVars is the expvar map "histograms".
var histogramVars = expvar.NewMap("histograms")

// Record adds a duration under the label.
func (h *Histograms) Record(label string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	// RecordValue fails only for values out of bounds, and value is clamped.
	_ = h.histogram(label).RecordValue(value)
}

// Summaries returns the summary of each label.
func (h *Histograms) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	summaries := make(map[string]Summary, len(h.byLabel))
	for label, histogram := range h.byLabel {
		summaries[label] = Summary{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P99:   histogram.ValueAtQuantile(99),
			Max:   histogram.Max(),
		}
	}
	return summaries
}

func (h *Histograms) histogram(label string) *hdrhistogram.Histogram {
	if found := h.byLabel[label]; found != nil {
		return found
	}
	if len(h.byLabel) >= h.limit {
		label = otherLabel
	}
	found := h.byLabel[label]
	if found == nil {
		found = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
		h.byLabel[label] = found
	}
	return found
}
