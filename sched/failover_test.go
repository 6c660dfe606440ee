package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/sched"
	"github.com/hornbeamworks/hornbeam/standin"
)

// BenchmarkFailover measures the time from a holder's death to the first start
// by its successor, at the default settings and 16 endpoints.
func BenchmarkFailover(b *testing.B) {
	benchSuccession(b, (*member).stop)
}

// BenchmarkHandover measures the same from a planned stop.
func BenchmarkHandover(b *testing.B) {
	benchSuccession(b, func(m *member) {
		m.drained()
		m.stop()
	})
}

func benchSuccession(b *testing.B, end func(*member)) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	w := newWorldUntil(16, b.Cleanup)
	next := func() *member { return w.startWith(sched.DefaultSettings(), w.table.Client(), w.fleet.Client()) }
	holder := next()
	first := request("first", "screen", time.Millisecond)
	holder.submit(first)
	holder.answer(first)
	standby := next()
	var gaps []time.Duration
	for i := range b.N {
		begin := time.Now()
		end(holder)
		r := request(fmt.Sprint("k", i), "screen", time.Millisecond)
		standby.submit(r)
		standby.answer(r)
		gaps = append(gaps, w.startedAt(r.ID).Sub(begin))
		holder, standby = standby, next()
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "s-p50")
	b.ReportMetric(gaps[len(gaps)*99/100].Seconds(), "s-p99")
}

// startedAt returns when the request was first started.
func (w *world) startedAt(id model.RequestID) time.Time {
	records, err := w.fleet.Records(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, record := range records {
		if record.Kind == standin.Started && record.Attempt.Task.Request == id {
			return record.Time
		}
	}
	return time.Time{}
}
