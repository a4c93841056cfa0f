package demo

import (
	"fmt"
	"slices"
	"text/tabwriter"
	"time"
)

// report prints what was asked, answered and moved, and at what cost.
func (d *demo) report(elapsed time.Duration) {
	w := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nrequests\tasked\tanswered\twrong\tfailed\treplayed\tdoubled\t")
	var kinds []string
	for kind := range d.tally.counts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		c := d.tally.counts[kind]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", kind, c.Asked, c.Answered, c.Wrong, c.Failed, c.Replayed, c.Doubled)
	}
	w.Flush()
	fmt.Fprintf(d.config.Output, "\nmove: %s\ntokens: %d generated, %d recomputed; cost %.4f; %s in all\n",
		d.moved, d.totals.generated, d.totals.recomputed, d.totals.cost, elapsed.Round(100*time.Millisecond))
}
