package burn

import "fmt"

// Measures of the plots in pixels. The page draws its plots as SVG itself, so
// that it needs neither a network nor fonts.
const (
	labelWidth = 220
	plotWidth  = 480
	barHeight  = 14
	// labelLength is how many characters of a label fit.
	labelLength = 34
)

// Plot is a horizontal bar chart.
type Plot struct {
	Title         string
	Width, Height int
	// Mark is the position of the line at the threshold, 0 for none.
	Mark int
	Bars []Bar
}

// Bar is one bar of a plot.
type Bar struct {
	// Label is shortened to fit; Title is the whole.
	Label, Title, Value string
	Class               string
	X, Y                int
	TextY               int
	Width               int
	ValueX              int
	Height              int
}

// add appends a bar of a value on a scale whose end is at the right.
func (p *Plot) add(label, text, class string, value, end float64) {
	width := 0
	if end > 0 {
		width = int(plotWidth * min(max(value/end, 0), 1))
	}
	title := label
	if len(label) > labelLength {
		label = label[:labelLength-1] + "…" // names are ASCII
	}
	y := len(p.Bars) * (barHeight + 4)
	p.Bars = append(p.Bars, Bar{
		Label: label, Title: title, Value: text, Class: class,
		X: labelWidth, Y: y, TextY: y + barHeight - 3, Width: width, ValueX: labelWidth + width + 4, Height: barHeight,
	})
	p.Width, p.Height = labelWidth+plotWidth+100, y+barHeight+4
}

// burnPlot shows the burn rates of each entry; the mark is at 1, above which
// the budget does not last.
func burnPlot(r *Report) Plot {
	end := 2.0
	for _, x := range r.Rows {
		if x.Workspace == "" {
			end = max(end, x.BurnShort, x.BurnLong)
		}
	}
	p := Plot{Title: "Burn rate; 1 uses the budget up in its period", Mark: labelWidth + int(plotWidth/end)}
	for _, x := range r.Rows {
		if x.Workspace == "" && x.Objective > 0 {
			p.add(x.Entry+", 5 min", fmt.Sprintf("%.2f", x.BurnShort), burnClass(x.BurnShort), x.BurnShort, end)
			p.add(x.Entry+", 1 h", fmt.Sprintf("%.2f", x.BurnLong), burnClass(x.BurnLong), x.BurnLong, end)
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

// budgetPlot shows the error budget that is left to each entry.
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

// movePlot shows the share of the new version of each move.
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
