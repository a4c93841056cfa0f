package load

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// Metric holds the values of one metric in two reports, A and B.
type Metric struct {
	Name string
	A, B float64
}

// Change returns the relative change from A to B in percent, or NaN if A is 0.
func (m Metric) Change() float64 {
	if m.A == 0 {
		return math.NaN()
	}
	return (m.B - m.A) / m.A * 100
}

// Compare returns the metrics of two reports: first those of the whole run, then
// those of each class that is in both reports. Classes that are in one report
// only are omitted.
func Compare(a, b *Report) []Metric {
	metrics := []Metric{
		{"start-lag p99-ms", a.StartLag.P99, b.StartLag.P99},
		{"cost", a.Cost, b.Cost},
		{"recomputed tokens", float64(a.Engines.Recomputed), float64(b.Engines.Recomputed)},
		{"generated tokens", float64(a.Engines.Generated), float64(b.Engines.Generated)},
		{"resumed", float64(a.Resumed), float64(b.Resumed)},
		{"failovers", float64(a.Failovers), float64(b.Failovers)},
	}
	metrics = append(metrics, compareClass("total", &a.Total, &b.Total)...)
	for _, name := range slices.Sorted(maps.Keys(a.Classes)) {
		if other := b.Classes[name]; other != nil {
			metrics = append(metrics, compareClass(name, a.Classes[name], other)...)
		}
	}
	return metrics
}

func compareClass(name string, a, b *ClassReport) []Metric {
	metrics := []Metric{{name + " sent", float64(a.Sent), float64(b.Sent)}}
	for _, o := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeWrong, OutcomeCutOff, OutcomeDoubled, OutcomeUnsent} {
		if a.Outcomes[o]+b.Outcomes[o] > 0 {
			metrics = append(metrics, Metric{name + " " + string(o), float64(a.Outcomes[o]), float64(b.Outcomes[o])})
		}
	}
	metrics = append(metrics, compareSummary(name+" first-token", a.FirstToken, b.FirstToken)...)
	metrics = append(metrics, compareSummary(name+" between-tokens", a.BetweenTokens, b.BetweenTokens)...)
	return append(metrics, compareSummary(name+" duration", a.Duration, b.Duration)...)
}

func compareSummary(name string, a, b Summary) []Metric {
	if a.Count+b.Count == 0 {
		return nil
	}
	return []Metric{
		{name + " p50-ms", a.P50, b.P50},
		{name + " p95-ms", a.P95, b.P95},
		{name + " p99-ms", a.P99, b.P99},
	}
}

// WriteComparison writes a table that compares two reports. It starts with a
// warning if the reports are not of the same workload. Classes that are in one
// report only are omitted without a warning.
func WriteComparison(w io.Writer, a, b *Report) error {
	if a.Mix != b.Mix || a.Seed != b.Seed || a.Rate != b.Rate || a.TokenScale != b.TokenScale {
		if _, err := fmt.Fprintln(w, "warning: mix, seed, rate or token scale differ"); err != nil {
			return fmt.Errorf("write comparison: %w", err)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "figure\tA\tB\tchange\t")
	for _, m := range Compare(a, b) {
		change := "-"
		if c := m.Change(); !math.IsNaN(c) {
			change = fmt.Sprintf("%+.1f%%", c)
		}
		_, _ = fmt.Fprintf(t, "%s\t%.6g\t%.6g\t%s\t\n", m.Name, m.A, m.B, change)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}
