package scaling

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a wrong slope or residual, which would make the figures of the
// capacity page wrong.
func TestFit(t *testing.T) {
	is := is.New(t)
	is.Equal(Fit(nil), Line{})
	is.Equal(Fit([]Point{{2, 3}, {2, 5}}), Line{Intercept: 4, Residual: 1})
	is.Equal(Fit([]Point{{0, 1}, {1, 3}, {2, 5}}), Line{Intercept: 1, Slope: 2})
	l := Fit([]Point{{0, 0}, {1, 3}, {2, 0}})
	is.True(math.Abs(l.Slope) < 1e-12 && math.Abs(l.Residual-2) < 1e-12)
}

// Guards against a fit that loses precision with the scale of X, which spans 10
// to 2,000 in the measurements.
func TestFitFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Line{Intercept: rapid.Float64Range(-1e6, 1e6).Draw(t, "intercept"), Slope: rapid.Float64Range(-1e4, 1e4).Draw(t, "slope")}
		var ps []Point
		for _, x := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4000), 2, 8, func(x int) int { return x }).Draw(t, "x") {
			ps = append(ps, Point{float64(x), want.At(float64(x))})
		}
		got := Fit(ps)
		if math.Abs(got.At(2000)-want.At(2000)) > 1e-3 || got.Residual > 1e-3 {
			t.Fatalf("Fit(%v) = %+v, want %+v", ps, got, want)
		}
	})
}
