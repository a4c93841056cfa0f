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
	// Fault describes the injected faults in the report.
	Fault string

	// script injects the faults. It is called faultAt after the start of the
	// load; samplerCtx ends only after the final checks.
	script func(ctx, samplerCtx context.Context, t *trial) error
	// verify makes the checks that are specific to the cell. It may be nil.
	verify func(ctx context.Context, t *trial)
	// noMove disables the version move that otherwise runs during the faults.
	noMove bool
	// unknownViolatesReclaim counts requests with an unknown outcome as
	// violations of SurvivesReclaim instead of CorrectResponse.
	unknownViolatesReclaim bool
	// completionFailureReason and bookingFailureReason are the reasons for which
	// section 8 of the design allows requests of the kind to fail. If a reason
	// is empty, all requests of the kind must be answered, except those lost
	// with a killed entry instance.
	completionFailureReason, bookingFailureReason string
	// knownCause explains a known failure of the cell, or is empty. The report
	// shows it under any failure of the cell, also under another one.
	knownCause               string
	loadTime                 time.Duration
	platformArgs, engineArgs []string
}

// Config configures Run.
type Config struct {
	// Binaries is the directory of the built programs. Logs is the directory for
	// the output of the processes; each cell deletes and recreates its
	// subdirectory.
	Binaries, Logs string
	Seed           uint64
	// Rate is the number of arrivals per second.
	Rate float64
}

// Result is the result of a cell.
type Result struct {
	Cell, Fault string
	// Cause explains a known failure of the cell, not necessarily the reported
	// one, or is empty.
	Cause    string
	Seed     uint64
	Verdicts map[Guarantee]Verdict
	// Violations are the violations that were found, at most maxViolations per
	// guarantee. Notes are measurements.
	Violations, Notes []string
	// Err is set if the cell could not be run; the verdicts are then NotCovered.
	Err  error
	Took time.Duration
}

// Failed reports whether a guarantee was violated or the cell did not run.
func (r Result) Failed() bool {
	return r.Err != nil || len(r.Violations) > 0
}

// Find returns the cell with the given name.
func Find(name string) (*Cell, error) {
	all := Cells()
	i := slices.IndexFunc(all, func(c *Cell) bool { return c.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("no cell is named %q", name)
	}
	return all[i], nil
}

// Run runs a cell and returns its result.
func Run(ctx context.Context, c *Cell, config Config) Result {
	result := Result{Cell: c.Name, Fault: c.Fault, Cause: c.knownCause, Seed: config.Seed, Verdicts: make(map[Guarantee]Verdict)}
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
		case len(f.violations) > 0:
			result.Verdicts[g] = Failed
			for _, p := range f.violations[:min(len(f.violations), maxViolations)] {
				result.Violations = append(result.Violations, fmt.Sprintf("guarantee %d: %s", g, p))
			}
		case f.checked:
			result.Verdicts[g] = Passed
		}
	}
	return result
}

// maxViolations limits the violations that are reported per guarantee and cell.
const maxViolations = 4
