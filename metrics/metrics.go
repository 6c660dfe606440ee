// Package metrics keeps histograms by label (a class, a team) and shows them
// by expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest bound the recorded durations, in microseconds.
	lowest  = 1
	highest = int64(24 * time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 2
	// otherLabel collects what comes after the labels have run out.
	otherLabel = "other"
)

// Summary is what one histogram shows. Durations are in microseconds.
type Summary struct {
	// Count is the number of recorded durations.
	Count int64 `json:"count"`
	// P50 is the median.
	P50 int64 `json:"p50_us"`
	// P99 is the 99th percentile.
	P99 int64 `json:"p99_us"`
	// Max is the largest.
	Max int64 `json:"max_us"`
}

// Histograms are histograms of durations by label, bounded in number.
type Histograms struct {
	limit int
	// mu guards byLabel: one duty records while expvar's handler reads.
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// NewHistograms returns histograms for at most limit labels; what comes after
// is recorded under "other". They are shown as the expvar of the given name.
func NewHistograms(name string, limit int) *Histograms {
	h := &Histograms{limit: limit, byLabel: map[string]*hdrhistogram.Histogram{}}
	shown.Set(name, expvar.Func(func() any { return h.Summaries() }))
	return h
}

// shown is the expvar map "histograms".
var shown = expvar.NewMap("histograms")

// Record adds a duration under the label.
func (h *Histograms) Record(label string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(d.Microseconds(), lowest), highest)
	// RecordValue fails only for values outside the bounds, which value is in.
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
		found = hdrhistogram.New(lowest, highest, significantDigits)
		h.byLabel[label] = found
	}
	return found
}
