package routetest

import (
	"fmt"
	"io"
	"text/tabwriter"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// Objectives for the 95th percentiles of the latencies, in seconds.
const (
	maxFirstTokenP95    = 1.2
	maxTokenIntervalP95 = 0.041
)

// NamedPolicy is a routing policy to measure. New returns a new policy for each
// simulation, because RoundRobin and Combined have state.
type NamedPolicy struct {
	Name string
	New  func() route.Policy
}

// Policies are the policies that Table measures.
var Policies = []NamedPolicy{
	{"RoundRobin", func() route.Policy { return new(route.RoundRobin) }},
	{"LeastLoaded", func() route.Policy { return route.LeastLoaded{} }},
	{"Affinity", func() route.Policy { return route.Affinity{} }},
	{"Combined", func() route.Policy { return new(route.Combined) }},
}

// Table measures the policies on both mixes with a number of backend servers and
// writes the results to w as a table.
func Table(w io.Writer, servers int, seeds []uint64) error {
	fmt.Fprintf(w, "%d workers, seeds %d, 95th percentiles of %v s to the first token and %v s between tokens\n", servers, seeds, maxFirstTokenP95, maxTokenIntervalP95)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "mix\tpolicy\trequests/s\tcost per 1,000 requests\trecomputed tokens/request\tat half of the least rate: first token\trecomputed\tbetween tokens")
	for _, m := range []Mix{LongPrefixes, ShortQuestions} {
		rates := make([]float64, len(Policies))
		results := make([]Result, len(Policies))
		lowestRate := 0.0
		for i, p := range Policies {
			for _, seed := range seeds {
				rate, result := MaxRate(p.New, m, servers, seed)
				rates[i] += rate / float64(len(seeds))
				results[i].Recomputed += result.Recomputed / float64(len(seeds))
			}
			if lowestRate == 0 || rates[i] < lowestRate {
				lowestRate = rates[i]
			}
		}
		for i, p := range Policies {
			half := Simulate(p.New(), m, servers, lowestRate/2, seeds[0])
			cost := FleetPrice(servers) / 3600 / rates[i] * 1000
			fmt.Fprintf(t, "%s\t%s\t%.1f\t%.4f\t%.0f\t%.2f s\t%.0f\t%.4f s\n", m.Name, p.Name, rates[i], cost, results[i].Recomputed, half.FirstTokenP95, half.Recomputed, half.TokenIntervalP95)
		}
	}
	return t.Flush()
}
