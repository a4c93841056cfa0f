package scaling

import (
	_ "embed" // for pageTemplate
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// page holds the data of the page's template.
type page struct {
	*Results
	Roles    []Role
	Trends   []Trend
	Periodic []periodicCall
	// OverBudget holds the names of the roles that alone exceed the budget.
	OverBudget []string

	// CPU is in percent of a core, memory in MB, traffic in KB per second and
	// the time until a change is in effect in seconds.
	CPUIdle, CPUMove, MemoryIdle, MemoryMove, BytesIdle, BytesMove, InEffect Spread

	// Peers, Workers and Domains are those of the target. Engines and Clients
	// are those of the request path. ParallelRuns is the number of concurrent
	// runs.
	Peers, Workers, Domains, DemandsPerNode, CountersPerNode, Engines, Clients, ParallelRuns int

	// Minutes is the duration of the measurements. HolderReads is the number of
	// reads per second by all holders of the watch, JournalWrites the number of
	// writes per call. Exchanges and RealExchanges are per second.
	Minutes, HolderReads, JournalWrites, Exchanges, RealExchanges, ExchangeRatio, CatalogueKB float64
}

// periodicCall is the cost of a function that an entry instance calls repeatedly.
// Most run without any traffic. Rate is the text for the calls per second.
type periodicCall struct {
	Name         string
	Milliseconds float64
	Rate         string
}

// WritePage writes the page and its plots to the directory output from the results
// that WriteResults wrote there.
func WritePage(output string) error {
	r, err := ReadResults(output)
	if err != nil {
		return err
	}
	p := newPage(r)
	for _, s := range p.Trends {
		if err := drawPlot(filepath.Join(output, "capacity"), s); err != nil {
			return err
		}
	}
	t, err := template.New("page").Funcs(template.FuncMap{"spread": formatSpread, "bytes": formatBytes, "percent": formatPercent}).Parse(pageTemplate)
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(output, "CAPACITY.md"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := t.Execute(f, p); err != nil {
		return err
	}
	return f.Close()
}

func newPage(r *Results) page {
	holder := Target
	holder.Holder = true
	p := page{
		Results: r, Roles: r.Roles(), Trends: r.Trends(), Periodic: r.periodicCalls(),
		CPUIdle: r.spread(Target, idle, rate("cpu")).times(100), CPUMove: r.spread(Target, move, rate("cpu")).times(100),
		MemoryIdle: r.spread(Target, idle, peakMemory).times(1e-6), MemoryMove: r.spread(Target, move, peakMemory).times(1e-6),
		BytesIdle: r.controlTraffic(idle), BytesMove: r.controlTraffic(move), InEffect: r.timeToEffect(),
		Peers: Target.Peers, Workers: Target.Workers, Domains: domains,
		DemandsPerNode: demandsPerNode, CountersPerNode: countersPerNode, Engines: engineCount, Clients: pathClients, ParallelRuns: parallelRuns,
		Minutes: r.Seconds / 60, HolderReads: domains * r.spread(holder, idle, rate("calls.GET-kv")).Mean, JournalWrites: r.Journal["calls.PUT-kv"],
		Exchanges: r.spread(Target, idle, rate("exchanges")).Mean, RealExchanges: realExchanges, ExchangeRatio: r.exchangeRatio(),
		CatalogueKB: r.Packages.Sizes["catalogue"] / 1e3,
	}
	for _, role := range p.Roles {
		if strings.HasPrefix(role.Verdict(), overBudgetMark) {
			p.OverBudget = append(p.OverBudget, role.Name)
		}
	}
	return p
}

// controlTraffic returns the control traffic of a real node at the target scale in
// both directions, in KB per second.
func (r *Results) controlTraffic(p phase) Spread {
	return r.spread(Target, p, func(w *Window) float64 {
		others := w.Rates["platform.sent"] + w.Rates["platform.received"] + w.Rates["workers.sent"] + w.Rates["workers.received"]
		return (2*r.exchangeRatio()*w.Rates["peers.sent"] + others) / 1e3
	})
}

func (r *Results) periodicCalls() (ps []periodicCall) {
	for _, c := range []struct{ name, title, rate string }{
		{"list decode", "decode the instance list", "0.6"},
		{"fleet rebuild", "rebuild the view of the backend servers", "2.6"},
		{"links", "choose links, probes and the members to forget", "10"},
		{"live and owner", "live members of the failure domain and the owner of a server", "2 for each server of the failure domain"},
		{"evidence totals", "sum the evidence of a move", "4 for each move"},
		{"scrape", "a scrape of 120 series", "0.07"},
		{"catalogue decode", "decode and index the catalogue", "0.07"},
		{"journal encode", "encode a full shard of the journal", "2 for each non-idempotent call, fewer with batches"},
		{"pick", "choose a backend server", "7.2"},
	} {
		ps = append(ps, periodicCall{c.title, 1e3 * r.Packages.CPU[c.name], c.rate})
	}
	return ps
}

func formatSpread(s Spread) string {
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Mean), formatNumber(s.Min), formatNumber(s.Max))
}

// formatNumber formats a number with three significant digits, or rounded to an
// integer if it is 1000 or more.
func formatNumber(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// formatBytes formats a number of bytes with a unit, with three significant digits
// if it is 1000 or more.
func formatBytes(n float64) string {
	switch {
	case n >= 1e6:
		return fmt.Sprintf("%.3g MB", n/1e6)
	case n >= 1e3:
		return fmt.Sprintf("%.3g KB", n/1e3)
	default:
		return fmt.Sprintf("%.0f B", n)
	}
}

func formatPercent(cores float64) string { return fmt.Sprintf("%.2g", 100*cores) }
