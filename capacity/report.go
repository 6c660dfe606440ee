package capacity

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// WriteTable writes the slopes as a Markdown table.
func WriteTable(w io.Writer, slopes []Slope) error {
	out := &strings.Builder{}
	out.WriteString("| slope | samples (size: cost) | line | R² | at the target | mechanism |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		out.WriteString(row(s))
	}
	_, err := io.WriteString(w, out.String())
	return eris.Wrap(err, "writing the capacity table")
}

func row(s Slope) string {
	line := s.Fit()
	var samples []string
	for _, sample := range s.Samples {
		samples = append(samples, fmt.Sprintf("%.4g: %.4g", sample.Size, sample.Value))
	}
	return fmt.Sprintf("| %s [%s] by %s | %s | %.4g + %.4g·n | %.3f | n = %.4g: %.4g %s | %s |\n",
		s.Name, s.Unit, s.SizeUnit, strings.Join(samples, ", "), line.Intercept, line.PerSize,
		line.RSquared, s.Target, line.At(s.Target), s.Unit, s.Mechanism)
}

// WritePlots writes one SVG file for each slope into the folder.
func WritePlots(folder string, slopes []Slope) error {
	for _, s := range slopes {
		if err := writePlot(folder, s); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(folder string, s Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.SizeUnit
	p.Y.Label.Text = s.Unit
	var points plotter.XYs
	for _, sample := range s.Samples {
		points = append(points, plotter.XY{X: sample.Size, Y: sample.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrapf(err, "plot %s", s.Name)
	}
	line := s.Fit()
	p.Add(scatter, plotter.NewFunction(line.At))
	file := filepath.Join(folder, strings.ReplaceAll(s.Name, " ", "-")+".svg")
	return eris.Wrapf(p.Save(plotWidth, plotHeight, file), "plot %s", s.Name)
}
