package bench_test

import (
	"flag"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/naive"
)

// printTable prints the whole table in place of the short run.
var printTable = flag.Bool("table", false, "print the table of docs/POLICY.md")

// The measurements.
const (
	// span is the virtual time of a run.
	span = time.Hour
	// shortSpan is the same in an ordinary test run.
	shortSpan = 15 * time.Minute
	// compareSpan is the virtual time of a comparison with the naive scheduler.
	compareSpan = 6 * time.Minute
	// seed fixes the arrivals.
	seed = 7
)

// benchSettings let the queues grow with the load.
var benchSettings = policy.Settings{QueueLimit: 1 << 16}

func newCell(d *deployment) *cell.Cell { return prepare(d, cell.New(benchSettings)) }

func newNaive(d *deployment) *cell.Cell { return prepare(d, naive.New(benchSettings)) }

func prepare(d *deployment, c *cell.Cell) *cell.Cell {
	config := d.config()
	c.SetConfig(start, config)
	c.SetFleet(d.endpoints())
	for _, info := range d.endpoints() {
		c.SetEndpoint(start, info)
	}
	for _, team := range config.Teams {
		c.SetPart(team.Name, team.Limit)
	}
	return c
}

var _ = Describe("The policy at 140% load with wrong sizes", func() {
	for _, d := range []*deployment{&consortium, &zarqa} {
		It("starts urgent work within its longest wait and keeps shares: "+d.name, func() {
			m := measure(d, newCell(d), d.arrivals(1.4, shortSpan, seed), shortSpan)
			urgent := d.streams[0].class
			waits := m.classes[urgent.Name].waits
			Expect(waits.TotalCount()).To(BeNumerically(">", 1000))
			Expect(waits.ValueAtQuantile(99)).To(BeNumerically("<=", urgent.MaxWait.Milliseconds()))
			Expect(m.shareErrors).NotTo(BeEmpty())
			Expect(m.meanShareError()).To(BeNumerically("<", 0.05))
		})
	}
})

var _ = Describe("The fast scheduler at 140% load", func() {
	for _, d := range []*deployment{&consortium, &zarqa} {
		It("starts the same as the naive one: "+d.name, func() {
			fast := measure(d, newCell(d), d.arrivals(1.4, compareSpan, seed), compareSpan)
			slow := measure(d, newNaive(d), d.arrivals(1.4, compareSpan, seed), compareSpan)
			Expect(len(fast.starts)).To(BeNumerically(">", 1000))
			Expect(len(fast.starts)).To(Equal(len(slow.starts)))
			for i := range fast.starts {
				a, b := fast.starts[i], slow.starts[i]
				Expect([]any{a.Attempt, a.Endpoint, a.Size}).To(Equal([]any{b.Attempt, b.Endpoint, b.Size}), "start %d", i)
			}
		})
	}
})

var _ = Describe("The table of the policy", func() {
	It("is printed on demand", func() {
		if !*printTable {
			Skip("asked for with -table")
		}
		fmt.Println("| deployment | load | policy | class | wait p50 s | wait p99 s | started % | late % | refused % | packing % | share error % | wasted % | out of memory |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, d := range []*deployment{&consortium, &zarqa} {
			for _, load := range []float64{0.7, 1, 1.4} {
				printRows(d, load, "fifo", measure(d, newFIFO(d), d.arrivals(load, span, seed), span))
				printRows(d, load, "cell", measure(d, newCell(d), d.arrivals(load, span, seed), span))
			}
		}
	})
})

func printRows(d *deployment, load float64, name string, m *measurement) {
	for i, s := range d.streams {
		c := m.classes[s.class.Name]
		fmt.Printf("| %s | %.0f%% | %s | %s | %.2f | %.2f | %.1f | %.1f | %.1f |", d.name, 100*load, name, s.class.Name,
			float64(c.waits.ValueAtQuantile(50))/1000, float64(c.waits.ValueAtQuantile(99))/1000,
			percent(int(c.waits.TotalCount()), c.accepted), percent(c.late, c.accepted), percent(c.refused, c.accepted))
		if i > 0 {
			fmt.Println(" | | | |")
			continue
		}
		fmt.Printf(" %.1f | %.1f | %.2f | %d |\n", 100*m.packing(), 100*m.meanShareError(), 100*m.waste(), m.outOfMemory)
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
