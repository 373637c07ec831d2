package main

import "math"

// line is a least-squares fit y = Intercept + Slope * x.
type line struct {
	Intercept, Slope float64
	// SlopeError is the standard error of the slope.
	SlopeError float64
}

// fit returns the line through the points. With two points SlopeError is zero.
func fit(x, y []float64) line {
	n := float64(len(x))
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - meanX) * (x[i] - meanX)
		sxy += (x[i] - meanX) * (y[i] - meanY)
	}
	l := line{Slope: sxy / sxx}
	l.Intercept = meanY - l.Slope*meanX
	if n <= 2 {
		return l
	}
	var residual float64
	for i := range x {
		d := y[i] - l.Intercept - l.Slope*x[i]
		residual += d * d
	}
	l.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	return l
}
