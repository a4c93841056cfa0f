package scaling

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// drawPlot writes the plot of a trend to an SVG file in directory: the points and
// the fitted line, which ends at the target scale.
func drawPlot(directory string, s Trend) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.X, s.Unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, q := range s.Points {
		points[i].X, points[i].Y = q.X, q.Y
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Line.At(0)}, {X: s.Target, Y: s.Line.At(s.Target)}})
	if err != nil {
		return fmt.Errorf("plot %s: %w", s.Name, err)
	}
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(plotter.NewGrid(), line, scatter)
	p.Legend.Add("measured", scatter)
	p.Legend.Add("least squares, to the target", line)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(14*vg.Centimeter, 8*vg.Centimeter, filepath.Join(directory, s.File+".svg"))
}
