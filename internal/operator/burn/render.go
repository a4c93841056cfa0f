package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Formats of a report.
const (
	FormatText = "text"
	FormatJSON = "json"
	FormatHTML = "html"
)

// Write writes the report to w in one of the formats.
func (r *Report) Write(w io.Writer, format string) error {
	switch format {
	case FormatText:
		return r.writeText(w)
	case FormatJSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case FormatHTML:
		return pageTemplate.Execute(w, r)
	}
	return fmt.Errorf("format %q is not valid; allowed: %s, %s or %s", format, FormatText, FormatJSON, FormatHTML)
}

func (r *Report) writeText(w io.Writer) error {
	m := &r.Measures
	fmt.Fprintln(w, r.Title())
	fmt.Fprintln(w, r.Coverage())
	for _, s := range r.Silent {
		fmt.Fprintf(w, "not covered: %s: %s\n", s.Instance, s.Reason)
	}
	fmt.Fprintln(w)
	for _, line := range m.Lines() {
		fmt.Fprintf(w, "%s: %s\n", line.Name, line.Value)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ToUpper(strings.Join(columns, "\t")))
	for _, x := range r.Rows {
		fmt.Fprintln(t, strings.Join(x.Cells(), "\t"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Moves) > 0 {
		fmt.Fprintln(w)
	}
	for _, x := range r.Moves {
		fmt.Fprintln(w, x.Sentence)
	}
	if len(r.Rejections) > 0 {
		fmt.Fprintln(w)
	}
	for _, x := range r.Rejections {
		fmt.Fprintf(w, "rejected for %s: %d\n", x.Reason, x.Count)
	}
	return nil
}

// Title returns a heading with the time and the catalogue revision of the report.
func (r *Report) Title() string {
	return fmt.Sprintf("Burn report at %s, catalogue revision %d", r.At.Format(time.RFC3339), r.CatalogueRevision)
}

// Coverage describes how many instances and how much of each window the report
// covers.
func (r *Report) Coverage() string {
	var spans [len(windows)]string
	for i, w := range windows {
		spans[i] = fmt.Sprintf("%s of the %s window", time.Duration(r.Covered[i]*float64(time.Second)).Round(time.Second), w.name)
	}
	return fmt.Sprintf("%d of %d live entry instances; %s", r.Reporting, r.Instances, strings.Join(spans[:], ", "))
}

// MeasureLine is one measure as text.
type MeasureLine struct{ Name, Value string }

// Lines returns the measures as text.
func (m *Measures) Lines() []MeasureLine {
	cost := "no tokens in the last hour"
	if m.PricePerMillionTokens > 0 {
		cost = fmt.Sprintf("%.4g for a million generated tokens, %.4g per hour", m.PricePerMillionTokens, m.PricePerHour)
	}
	recomputedShare := 0.0
	if m.GeneratedTokens > 0 {
		recomputedShare = float64(m.RecomputedTokens) / float64(m.GeneratedTokens)
	}
	target := "no requests in the last hour"
	if m.Requests > 0 {
		target = fmt.Sprintf("%s of %d requests of the last hour", percent(m.ShareWithinObjective), m.Requests)
	}
	if m.FirstTokenP95 > 0 {
		target += fmt.Sprintf("; 95th percentile %.3g s to the first token, %.3g s between tokens", m.FirstTokenP95, m.BetweenTokensP95)
	}
	return []MeasureLine{
		{"cost", cost},
		{"latency target", target},
		{"tokens recomputed", fmt.Sprintf("%d, %s of %d generated", m.RecomputedTokens, percent(recomputedShare), m.GeneratedTokens)},
		{"versions moved", fmt.Sprintf("%d in time, %d late, %d in progress, %d replaced, %d not reported on", m.MovesDone, m.MovesLate, m.MovesRunning, m.MovesReplaced, m.MovesUnknown)},
		{"versions rolled back", fmt.Sprint(m.MovesRolledBack)},
	}
}

var columns = []string{"entry", "workspace", "objective", "budget left", "burn 5m", "burn 1h", "requests", "slow", "failed", "reclaimed", "rejected", "limited"}

// Columns returns the headings of the columns of Row.Cells.
func (r *Report) Columns() []string { return columns }

// Cells returns the cells of the row as text.
func (x Row) Cells() []string {
	workspace := x.Workspace
	if workspace == "" {
		workspace = "all"
	}
	cells := []string{x.Entry, workspace, "not in the catalogue", "-", "-", "-"}
	if x.Objective > 0 {
		objective := percent(x.Objective) + " within " + x.FirstToken
		if x.BetweenTokens != "" {
			objective += ", " + x.BetweenTokens
		}
		cells = []string{x.Entry, workspace, objective, percent(x.BudgetLeft), fmt.Sprintf("%.2f", x.BurnShort), fmt.Sprintf("%.2f", x.BurnLong)}
	}
	for _, n := range []uint64{x.Requests, x.Slow, x.Failed, x.Reclaimed, x.Rejected, x.Limited} {
		cells = append(cells, fmt.Sprint(n))
	}
	return cells
}

func percent(v float64) string { return fmt.Sprintf("%.4g%%", 100*v) }

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"burnPlot": burnPlot, "budgetPlot": budgetPlot, "movePlot": movePlot,
}).Parse(pageText))
