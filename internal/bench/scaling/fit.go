package scaling

import "math"

// Point is one measurement of a value Y at a size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a fitted straight line. Residual is the largest vertical distance of a
// point from the line.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"largest-residual"`
}

// Fit returns the least-squares line through ps. If all points have the same X,
// the line is horizontal at the mean of their Y. The line of no points is zero.
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
