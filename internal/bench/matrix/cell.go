package matrix

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Cell is one fault or combination of faults.
type Cell struct {
	Name string
	// Fault describes what is injected.
	Fault string

	// script injects the faults once the load and the move have run for a
	// while. watching outlasts the script.
	script func(ctx, watching context.Context, t *trial) error
	// verify checks what is particular to the cell.
	verify func(ctx context.Context, t *trial)
	// noMove leaves out the version move that runs during the faults.
	noMove bool
	// reclaims counts unanswered requests against SurvivesReclaim.
	reclaims bool
	// completionsFail and bookingsFail are the reasons for which section 8 of
	// the design allows requests of the kind to fail. If empty, all must be
	// answered, but for those lost with a killed entry instance.
	completionsFail, bookingsFail string
	// cause explains why the cell fails, as far as it is known.
	cause                    string
	loadTime                 time.Duration
	platformArgs, engineArgs []string
}

// Config configures Run.
type Config struct {
	// Binaries is the directory of the built programs, Logs that for the output
	// of the processes; it is emptied.
	Binaries, Logs string
	Seed           uint64
	// Rate is the number of arrivals per second.
	Rate float64
}

// Result is what a cell showed.
type Result struct {
	Cell, Fault string
	// Cause explains a failure, as far as it is known.
	Cause    string
	Seed     uint64
	Verdicts map[Guarantee]Verdict
	// Problems are the broken guarantees, Notes further measurements.
	Problems, Notes []string
	// Err is a failure of the runner; then nothing was checked.
	Err  error
	Took time.Duration
}

// Broken reports whether a guarantee was broken or the cell did not run.
func (r Result) Broken() bool {
	return r.Err != nil || len(r.Problems) > 0
}

// Find returns the cell with a name.
func Find(name string) (*Cell, error) {
	all := Cells()
	i := slices.IndexFunc(all, func(c *Cell) bool { return c.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("no cell is named %q", name)
	}
	return all[i], nil
}

// Run runs a cell.
func Run(ctx context.Context, c *Cell, config Config) Result {
	result := Result{Cell: c.Name, Fault: c.Fault, Cause: c.cause, Seed: config.Seed, Verdicts: make(map[Guarantee]Verdict)}
	for _, g := range Guarantees {
		result.Verdicts[g] = NotCovered
	}
	began := time.Now()
	config.Logs = logDirectory(config.Logs, c.Name)
	t, err := newTrial(c, config)
	if err == nil {
		err = t.run(ctx)
	}
	result.Took = time.Since(began)
	if result.Err = err; err != nil || t == nil {
		return result
	}
	result.Notes = t.notes
	for _, g := range Guarantees {
		f := t.findings[g]
		switch {
		case f == nil:
		case len(f.problems) > 0:
			result.Verdicts[g] = Failed
			for _, p := range f.problems[:min(len(f.problems), maxProblems)] {
				result.Problems = append(result.Problems, fmt.Sprintf("guarantee %d: %s", g, p))
			}
		case f.checked:
			result.Verdicts[g] = Proved
		}
	}
	return result
}

// maxProblems bounds the problems that are reported of a guarantee in a cell.
const maxProblems = 4
