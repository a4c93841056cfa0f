package demo

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"
)

// report prints the counts of requests, the result of the move, the numbers of
// tokens, the cost and the elapsed time.
func (d *demo) report(elapsed time.Duration) {
	w := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nrequests\tsent\tanswered\twrong\tfailed\treplayed\tdoubled\t")
	var kinds []string
	for kind := range d.tally.counts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		c := d.tally.counts[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", kind, c.Sent, c.Answered, c.Wrong, c.Failed, c.Replayed, c.DuplicateRuns)
	}
	w.Flush()
	fmt.Fprintf(d.config.Output, "\nmove: %s\ntokens: %d generated, %d recomputed; cost %.4f; %s in total\n",
		d.moveSummary, d.totals.generated, d.totals.recomputed, d.totals.cost, elapsed.Round(100*time.Millisecond))
}
