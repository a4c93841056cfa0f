package burn

import "fmt"

// Dimensions of the plots in pixels. The page contains its plots as SVG, so that
// it loads no external resources.
const (
	labelWidth = 220
	plotWidth  = 480
	barHeight  = 14
	// labelLength is the number of characters that fit into labelWidth.
	labelLength = 34
)

// Plot is a horizontal bar chart. Its dimensions and positions are in pixels.
type Plot struct {
	Title         string
	Width, Height int
	// ThresholdX is the x position of the threshold line; 0 draws none.
	ThresholdX int
	Bars       []Bar
}

// Bar is one bar of a plot. Its dimensions and positions are in pixels.
type Bar struct {
	// Label is truncated to labelLength; Title is the full text.
	Label, Title, Value string
	Class               string // CSS class
	X, Y                int
	TextY               int
	Width               int
	ValueX              int
	Height              int
}

// add appends a bar for value, on a scale from 0 at the left to scaleMax at the
// right.
func (p *Plot) add(label, valueText, class string, value, scaleMax float64) {
	width := 0
	if scaleMax > 0 {
		width = int(plotWidth * min(max(value/scaleMax, 0), 1))
	}
	title := label
	if len(label) > labelLength {
		label = label[:labelLength-1] + "…" // names are ASCII, so the cut is between characters
	}
	y := len(p.Bars) * (barHeight + 4)
	p.Bars = append(p.Bars, Bar{
		Label: label, Title: title, Value: valueText, Class: class,
		X: labelWidth, Y: y, TextY: y + barHeight - 3, Width: width, ValueX: labelWidth + width + 4, Height: barHeight,
	})
	p.Width, p.Height = labelWidth+plotWidth+100, y+barHeight+4
}

// burnPlot plots the burn rates of each entry. The line marks a rate of 1, above
// which the error budget is used up before the end of its period.
func burnPlot(r *Report) Plot {
	scaleMax := 2.0
	for _, x := range r.Rows {
		if x.Workspace == "" {
			scaleMax = max(scaleMax, x.BurnShort, x.BurnLong)
		}
	}
	p := Plot{Title: "Burn rate; 1 uses the budget up in its period", ThresholdX: labelWidth + int(plotWidth/scaleMax)}
	for _, x := range r.Rows {
		if x.Workspace == "" && x.Objective > 0 {
			p.add(x.Entry+", 5 min", fmt.Sprintf("%.2f", x.BurnShort), burnClass(x.BurnShort), x.BurnShort, scaleMax)
			p.add(x.Entry+", 1 h", fmt.Sprintf("%.2f", x.BurnLong), burnClass(x.BurnLong), x.BurnLong, scaleMax)
		}
	}
	return p
}

func burnClass(rate float64) string {
	if rate > 1 {
		return "bad"
	}
	return "good"
}

// budgetPlot plots the remaining error budget of each entry.
func budgetPlot(r *Report) Plot {
	p := Plot{Title: "Error budget left of the last 24 hours"}
	for _, x := range r.Rows {
		if x.Workspace != "" || x.Objective == 0 {
			continue
		}
		class := "good"
		if x.BudgetLeft < 0.25 {
			class = "bad"
		}
		p.add(x.Entry, percent(x.BudgetLeft), class, x.BudgetLeft, 1)
	}
	return p
}

// movePlot plots the share of requests on the new version for each move.
func movePlot(r *Report) Plot {
	p := Plot{Title: "Share of the requests on the new version"}
	for _, m := range r.Moves {
		class := "good"
		if m.Phase == "rolled back" {
			class = "bad"
		}
		p.add(m.Entry+" to "+m.To, percent(m.Share), class, m.Share, 1)
	}
	return p
}
