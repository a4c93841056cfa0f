package slopes

import "math"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a straight line with the largest distance of a point from it.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"largest-residual"`
}

// Fit returns the line of least squares through ps. Points that all have the
// same X give a level line through their mean.
func Fit(ps []Point) Line {
	if len(ps) == 0 {
		return Line{}
	}
	var mx, my float64
	for _, p := range ps {
		mx += p.X / float64(len(ps))
		my += p.Y / float64(len(ps))
	}
	var sxx, sxy float64
	for _, p := range ps {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
	}
	l := Line{Intercept: my}
	if sxx > 0 {
		l.Slope = sxy / sxx
		l.Intercept = my - l.Slope*mx
	}
	for _, p := range ps {
		l.Residual = max(l.Residual, math.Abs(p.Y-l.At(p.X)))
	}
	return l
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
