package matrix

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// WriteResult writes the result of a cell as text.
func WriteResult(w io.Writer, r Result) {
	state := "ok"
	switch {
	case r.Err != nil:
		state = "did not run"
	case r.Failed():
		state = "FAILED"
	}
	fmt.Fprintf(w, "%s: %s (seed %d, %v)\n", r.Cell, state, r.Seed, r.Took.Round(100*time.Millisecond))
	if r.Err != nil {
		fmt.Fprintf(w, "  error: %v\n", r.Err)
	}
	for _, p := range r.Violations {
		fmt.Fprintf(w, "  %s\n", p)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "  note: %s\n", n)
	}
}

// WriteTable writes the results as a Markdown page.
func WriteTable(w io.Writer, results []Result, now time.Time) error {
	var b strings.Builder
	fmt.Fprintf(&b, `# Fault matrix

Measured by %[1]sbin/matrix%[1]s on %[2]s. Each cell starts the platform fake,
2 entry instances, 2 engines and a plain service in each of 3 failure domains as
separate processes, drives them with a seeded load and injects the fault. Unless
stated otherwise, a version move runs at the same time. %[1]smake matrix%[1]s runs all
cells and writes this page; its timing depends on the machine, so it is not part
of %[1]smake test%[1]s.

`, "`", now.UTC().Format("2006-01-02 15:04 UTC"))
	for _, g := range Guarantees {
		fmt.Fprintf(&b, "%d. %s\n", g, g)
	}
	b.WriteString(legend)
	b.WriteString("\n| Fault |")
	for _, g := range Guarantees {
		fmt.Fprintf(&b, " %d |", g)
	}
	b.WriteString(" Command |\n|---|" + strings.Repeat("---|", len(Guarantees)+1) + "\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s |", r.Fault)
		for _, g := range Guarantees {
			if r.Err != nil {
				b.WriteString(" did not run |")
				continue
			}
			fmt.Fprintf(&b, " %s |", r.Verdicts[g])
		}
		fmt.Fprintf(&b, " `bin/matrix --cell %s --seed %d` |\n", r.Cell, r.Seed)
	}
	b.WriteString("\n## Failures\n\n")
	if !slices.ContainsFunc(results, Result.Failed) {
		b.WriteString("None in this run.\n")
	}
	for _, r := range results {
		if !r.Failed() {
			continue
		}
		fmt.Fprintf(&b, "- `%s`:\n", r.Cell)
		if r.Err != nil {
			fmt.Fprintf(&b, "  - did not run: %s\n", oneLine(r.Err.Error()))
		}
		for _, p := range r.Violations {
			fmt.Fprintf(&b, "  - %s\n", oneLine(p))
		}
		if r.Cause != "" {
			fmt.Fprintf(&b, "  - Cause: %s\n", oneLine(r.Cause))
		}
	}
	b.WriteString(notCovered)
	b.WriteString("\n## Measurements\n\n")
	for _, r := range results {
		fmt.Fprintf(&b, "- `%s`: %s\n", r.Cell, oneLine(strings.Join(r.Notes, "; ")))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

const legend = `
A "-" means that the cell does not check the guarantee. Guarantee 8 covers the
apply of the move before the fault and, where the cell has one, an apply during
or after it. "proved" means that no violation was seen in this run.
`

const notCovered = `
## Not covered

- A network cut between failure domains: the fake cannot cut them off from each
  other. Freezing all entry instances of a failure domain stands in for it, but
  the frozen side serves nothing meanwhile.
- A response that is cut off because its entry instance is killed: it is counted
  but not reported as a failure, since the design allows it (section 8).
- The bound on the bookings of a killed entry instance: the outcome of a booking
  whose owner is lost may stay unknown to its client.
- Isolation of a failure domain that keeps serving (guarantees 2 and 8 there).
- Loss of the store's data: the fake keeps it in memory, so its process cannot be
  restarted; an outage in which all calls fail stands in for a restart.
- A lease that ends while its holder is paused: no cell sends commands to engines
  under a lease.
- Replacement instances that are refused, and regions cut off from each other.
- Engines that do not check fencing tokens.
`
