// Package capacity measures how the cost of each role grows with its size and
// works out the cost at the target. A slope is measured over at least four
// sizes on this machine and fitted by a straight line.
package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Sample is one measurement.
type Sample struct {
	// Size is the size at which it was taken, in the slope's size unit.
	Size float64
	// Value is the cost, in the slope's unit.
	Value float64
}

// Slope is a series of measurements over a size.
type Slope struct {
	// Name names the slope.
	Name string
	// SizeUnit names what grows.
	SizeUnit string
	// Unit is the unit of the cost.
	Unit string
	// Samples are the measurements, by rising size.
	Samples []Sample
	// Target is the size at the stated target.
	Target float64
	// Mechanism names what carries the cost.
	Mechanism string
}

// Line is a straight line fitted to a slope.
type Line struct {
	// Intercept is the cost at size zero.
	Intercept float64
	// PerSize is the cost of each unit of size.
	PerSize float64
	// RSquared is the part of the variance that the line explains.
	RSquared float64
}

// Fit returns the least-squares line through the samples.
func (s Slope) Fit() Line {
	sizes, values := s.columns()
	intercept, perSize := stat.LinearRegression(sizes, values, nil, false)
	return Line{
		Intercept: intercept,
		PerSize:   perSize,
		RSquared:  stat.RSquared(sizes, values, nil, intercept, perSize),
	}
}

// At returns the cost that the line gives for the size.
func (l Line) At(size float64) float64 { return l.Intercept + l.PerSize*size }

func (s Slope) columns() (sizes, values []float64) {
	for _, sample := range s.Samples {
		sizes = append(sizes, sample.Size)
		values = append(values, sample.Value)
	}
	return sizes, values
}
