package main

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// series holds the measurements of one quantity at several sizes.
type series struct {
	name, xUnit, yUnit string
	x, y               []float64
}

func newSeries(name, xUnit, yUnit string) *series {
	return &series{name: name, xUnit: xUnit, yUnit: yUnit}
}

func (s *series) add(x, y float64) {
	s.x, s.y = append(s.x, x), append(s.y, y)
	fmt.Printf("%s: %g %s -> %.6g %s\n", s.name, x, s.xUnit, y, s.yUnit)
}

// linearFit is a least-squares line. SlopeError is the standard error of the slope, NaN with fewer than three points.
type linearFit struct{ Intercept, Slope, SlopeError float64 }

func fitLine(x, y []float64) linearFit {
	var l linearFit
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.SlopeError = math.NaN()
	if n := float64(len(x)); n > 2 {
		var sumOfSquares float64
		for i := range x {
			residual := y[i] - l.Intercept - l.Slope*x[i]
			sumOfSquares += residual * residual
		}
		l.SlopeError = math.Sqrt(sumOfSquares / (n - 2) / (stat.Variance(x, nil) * (n - 1)))
	}
	return l
}

func (s *series) printFit() {
	l := fitLine(s.x, s.y)
	fmt.Printf("= %s: slope %.6g (standard error %.2g) %s per %s, intercept %.6g, %d points\n", s.name, l.Slope, l.SlopeError, s.yUnit, s.xUnit, l.Intercept, len(s.x))
}
