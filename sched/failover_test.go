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

// BenchmarkFailover measures the time from the kill of a holder to the first
// start by its successor, with the default settings and 16 endpoints.
func BenchmarkFailover(b *testing.B) {
	benchSuccession(b, (*scheduler).stop)
}

// BenchmarkHandover measures the same from a planned stop.
func BenchmarkHandover(b *testing.B) {
	benchSuccession(b, func(s *scheduler) {
		s.drain()
		s.stop()
	})
}

func benchSuccession(b *testing.B, end func(*scheduler)) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	fx := newFixtureUntil(16, b.Cleanup)
	next := func() *scheduler { return fx.startWith(sched.DefaultSettings(), fx.table.Client(), fx.fleet.Client()) }
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
		gaps = append(gaps, fx.startedAt(r.ID).Sub(begin))
		holder, standby = standby, next()
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "s-p50")
	b.ReportMetric(gaps[len(gaps)*99/100].Seconds(), "s-p99")
}

// startedAt returns when the request was first started.
func (fx *fixture) startedAt(id model.RequestID) time.Time {
	records, err := fx.fleet.Records(fx.ctx)
	Expect(err).NotTo(HaveOccurred())
	for _, record := range records {
		if record.Kind == standin.Started && record.Attempt.Task.Request == id {
			return record.Time
		}
	}
	return time.Time{}
}
