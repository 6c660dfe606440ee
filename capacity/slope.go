// Package capacity measures how the cost of each role grows with its size and
// extrapolates the cost at the target. A slope is measured at four sizes or more on
// the local machine and fitted by a straight line.
package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Sample is one measurement.
type Sample struct {
	// Size is in the slope's size unit.
	Size float64
	// Value is the cost in the slope's unit.
	Value float64
}

// Slope is a series of measurements of a cost at rising sizes.
type Slope struct {
	Name string
	// SizeUnit is the unit of the size.
	SizeUnit string
	// Unit is the unit of the cost.
	Unit string
	// Samples are in order of size.
	Samples []Sample
	// Target is the size that the users stated as their target.
	Target float64
	// Mechanism describes what causes or bounds the cost.
	Mechanism string
}

// Line is a straight line fitted to a slope.
type Line struct {
	// Intercept is the cost at size zero.
	Intercept float64
	// PerSize is the cost per unit of size.
	PerSize float64
	// RSquared is the coefficient of determination.
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

// At returns the cost that the line predicts for the size.
func (l Line) At(size float64) float64 { return l.Intercept + l.PerSize*size }

func (s Slope) columns() (sizes, values []float64) {
	for _, sample := range s.Samples {
		sizes = append(sizes, sample.Size)
		values = append(values, sample.Value)
	}
	return sizes, values
}
