package slopes

import (
	_ "embed" // for the template of the page
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageText string

// page holds what the template needs.
type page struct {
	*Results
	Roles    []Role
	Slopes   []Slope
	Periodic []periodic
	// Over names the roles that exceed the budget by themselves.
	Over []string

	CPUIdle, CPUMove, MemoryIdle, MemoryMove, BytesIdle, BytesMove, InEffect Spread

	Peers, Workers, Domains, Uses, Counters, Engines, Clients, Parallel int

	Minutes, HolderReads, JournalWrites, Exchanges, RealExchanges, Scale, CatalogueKB float64
}

// periodic is a computation that runs whether or not there is traffic.
type periodic struct {
	Name         string
	Milliseconds float64
	Rate         string
}

// WritePage writes the page and the plots from the results.
func WritePage(output string) error {
	r, err := ReadResults(output)
	if err != nil {
		return err
	}
	p := newPage(r)
	for _, s := range p.Slopes {
		if err := draw(filepath.Join(output, "capacity"), s); err != nil {
			return err
		}
	}
	t, err := template.New("page").Funcs(template.FuncMap{"spread": formatSpread, "bytes": formatBytes, "percent": formatPercent}).Parse(pageText)
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
		Results: r, Roles: r.Roles(), Slopes: r.Slopes(), Periodic: r.periodic(),
		CPUIdle: r.at(Target, idle, rate("cpu")).times(100), CPUMove: r.at(Target, move, rate("cpu")).times(100),
		MemoryIdle: r.at(Target, idle, peak).times(1e-6), MemoryMove: r.at(Target, move, peak).times(1e-6),
		BytesIdle: r.total(idle), BytesMove: r.total(move), InEffect: r.inEffect(),
		Peers: Target.Peers, Workers: Target.Workers, Domains: domains,
		Uses: usesPerNode, Counters: countersPerNode, Engines: engines, Clients: pathClients, Parallel: parallel,
		Minutes: r.Seconds / 60, HolderReads: domains * r.at(holder, idle, rate("calls.GET-kv")).Mean, JournalWrites: r.Journal["calls.PUT-kv"],
		Exchanges: r.at(Target, idle, rate("exchanges")).Mean, RealExchanges: realExchanges, Scale: r.scale(),
		CatalogueKB: r.Local.Sizes["catalogue"] / 1e3,
	}
	for _, role := range p.Roles {
		if strings.HasPrefix(role.Verdict(), overMark) {
			p.Over = append(p.Over, role.Name)
		}
	}
	return p
}

// total returns all control traffic of a real node in KB per second.
func (r *Results) total(p phase) Spread {
	return r.at(Target, p, func(w *Window) float64 {
		others := w.Rates["platform.sent"] + w.Rates["platform.received"] + w.Rates["workers.sent"] + w.Rates["workers.received"]
		return (2*r.scale()*w.Rates["peers.sent"] + others) / 1e3
	})
}

func (r *Results) periodic() (ps []periodic) {
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
		ps = append(ps, periodic{c.title, 1e3 * r.Local.CPU[c.name], c.rate})
	}
	return ps
}

func formatSpread(s Spread) string {
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Mean), formatNumber(s.Least), formatNumber(s.Largest))
}

// formatNumber returns a number with at least three significant digits.
func formatNumber(x float64) string {
	if x >= 1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// formatBytes returns a number of bytes with three significant digits.
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
