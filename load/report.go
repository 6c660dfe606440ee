package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hornbeamworks/hornbeam/result"
)

const (
	median       = 50
	percentile99 = 99
	// columnGap is the number of spaces between columns.
	columnGap  = 2
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// plotFrom is the lower end of the waiting-time axis in seconds. The axis spans
	// at least one decade.
	plotFrom   = 1e-4
	plotDecade = 10
	// microsPerSecond converts the histograms' unit to the plot's.
	microsPerSecond = 1e6
)

// Write writes the tables of the result as text.
func (r *Result) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tsent\tok\tnot run\tfailed\tunknown\tno answer\twait p50\twait p99\twait max\ttotal p50\ttotal p99\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", c.Class, c.Sent, c.OK, c.NotRun, c.Failed, c.Unknown,
			c.Unanswered, quantile(c.Waiting, median), quantile(c.Waiting, percentile99), formatMicros(c.Waiting.Max()),
			quantile(c.Total, median), quantile(c.Total, percentile99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\ncalls without a reply: %d; longest wait for a free caller: %s\n", r.LostCalls, r.MaxCallerWait.Round(time.Millisecond))
	for _, code := range r.codes() {
		fmt.Fprintf(w, "  %d %s: %d\n", code, code, r.Codes[code])
	}
	fmt.Fprintf(w, "wrong answers: %d\n", r.Wrong)
	for _, problem := range r.Problems {
		fmt.Fprintf(w, "  %s\n", problem)
	}
	return nil
}

func (r *Result) codes() []result.Code {
	var codes []result.Code
	for code := range r.Codes {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	return codes
}

// quantile formats the value at q percent; "-" for an empty histogram.
func quantile(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return formatMicros(h.ValueAtQuantile(q))
}

func formatMicros(micros int64) string {
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Microsecond).String()
}

// Plot writes the distribution of the waiting time by class to the file. The file
// extension (svg, png, pdf) selects the format.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Waiting time by class"
	p.X.Label.Text = "waiting time (s)"
	p.Y.Label.Text = "requests answered (%)"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, class := range r.Classes {
		if class.Waiting.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(distribution(class.Waiting))
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(class.Class), line)
	}
	// A logarithmic axis needs two different limits above zero, also when all values
	// are equal.
	p.X.Min, p.X.Max = plotFrom, max(p.X.Max, plotFrom*plotDecade)
	return p.Save(plotWidth, plotHeight, file)
}

// distribution returns the points of the cumulative distribution.
func distribution(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, b := range h.CumulativeDistribution() {
		points = append(points, plotter.XY{X: max(float64(b.ValueAt)/microsPerSecond, plotFrom), Y: b.Quantile})
	}
	return points
}
