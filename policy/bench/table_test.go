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

// printTable enables the spec that prints the complete table.
var printTable = flag.Bool("table", false, "print the table of docs/POLICY.md")

// The parameters of the simulations.
const (
	// tableDuration is the virtual time of a simulation for the table.
	tableDuration = time.Hour
	// testDuration is the virtual time of a simulation in an ordinary test run.
	testDuration = 15 * time.Minute
	// compareDuration is the virtual time of a comparison with the naive
	// scheduler.
	compareDuration = 6 * time.Minute
	// seed is the seed of the random arrivals.
	seed = 7
)

// benchSettings raises the queue limit so that the queues grow with the load.
var benchSettings = policy.Settings{QueueLimit: 1 << 16}

func newCell(d *deployment) *cell.Cell { return configure(d, cell.New(benchSettings)) }

func newNaive(d *deployment) *cell.Cell { return configure(d, naive.New(benchSettings)) }

func configure(d *deployment, c *cell.Cell) *cell.Cell {
	config := d.config()
	c.SetConfig(startTime, config)
	c.SetFleet(d.endpoints())
	for _, info := range d.endpoints() {
		c.SetEndpoint(startTime, info)
	}
	for _, team := range config.Teams {
		c.SetPart(team.Name, team.Limit)
	}
	return c
}

var _ = Describe("The policy at 140% load with wrongly declared sizes", func() {
	for _, d := range []*deployment{&consortium, &zarqa} {
		It("starts urgent work within its maximum wait and meets the shares: "+d.name, func() {
			m := simulate(d, newCell(d), d.arrivals(1.4, testDuration, seed), testDuration)
			urgent := d.streams[0].class
			waits := m.classes[urgent.Name].waits
			Expect(waits.TotalCount()).To(BeNumerically(">", 1000))
			Expect(waits.ValueAtQuantile(99)).To(BeNumerically("<=", urgent.MaxWait.Milliseconds()))
			Expect(m.shareErrors).NotTo(BeEmpty())
			Expect(m.meanShareError()).To(BeNumerically("<", 0.05))
		})
	}
})

var _ = Describe("The cell scheduler at 140% load", func() {
	for _, d := range []*deployment{&consortium, &zarqa} {
		It("makes the same starts as the naive scheduler: "+d.name, func() {
			indexed := simulate(d, newCell(d), d.arrivals(1.4, compareDuration, seed), compareDuration)
			linear := simulate(d, newNaive(d), d.arrivals(1.4, compareDuration, seed), compareDuration)
			Expect(len(indexed.starts)).To(BeNumerically(">", 1000))
			Expect(len(indexed.starts)).To(Equal(len(linear.starts)))
			for i := range indexed.starts {
				a, b := indexed.starts[i], linear.starts[i]
				Expect([]any{a.Attempt, a.Endpoint, a.Size}).To(Equal([]any{b.Attempt, b.Endpoint, b.Size}), "start %d", i)
			}
		})
	}
})

var _ = Describe("The table of measurements", func() {
	It("is printed on demand", func() {
		if !*printTable {
			Skip("enabled by -table")
		}
		fmt.Println("| deployment | load | policy | class | wait p50 s | wait p99 s | started % | late % | refused % | packing % | share error % | wasted % | out of memory |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, d := range []*deployment{&consortium, &zarqa} {
			for _, load := range []float64{0.7, 1, 1.4} {
				printRows(d, load, "fifo", simulate(d, newFIFO(d), d.arrivals(load, tableDuration, seed), tableDuration))
				printRows(d, load, "cell", simulate(d, newCell(d), d.arrivals(load, tableDuration, seed), tableDuration))
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
		fmt.Printf(" %.1f | %.1f | %.2f | %d |\n", 100*m.packing(), 100*m.meanShareError(), 100*m.wastedFraction(), m.outOfMemoryKills)
	}
}

func percent(count, total int) float64 { return 100 * float64(count) / float64(max(1, total)) }
