package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
)

// statuses returns the status of every live entry instance, or why it could not be
// read.
func (o *platformOptions) statuses(ctx context.Context) ([]admin.StatusResult, error) {
	fleet := admin.NewFleet(admin.FleetConfig{Platform: o.Platform})
	entries, err := fleet.EntryInstances(ctx)
	if err != nil {
		return nil, err
	}
	return fleet.Statuses(ctx, entries), nil
}

// printFailures prints the instances that did not answer and returns their
// number.
func (a *app) printFailures(answers []admin.StatusResult) (n int) {
	for _, x := range answers {
		if x.Err != nil {
			fmt.Fprintf(a.stdout, "%s (%s) did not answer: %v\n", x.Instance.ID, x.Instance.FailureDomain, x.Err)
			n++
		}
	}
	return n
}

type movesCommand struct{ storeOptions }

// Execute implements flags.Commander.
func (c *movesCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	answers, err := c.statuses(ctx)
	if err != nil {
		return err
	}
	declared := admin.ReportedMoves(answers)
	if s, err := c.client().Load(ctx); err == nil {
		declared = s.Catalogue
	} else {
		fmt.Fprintf(c.app.stdout, "the catalogue cannot be read; showing what the instances report: %v\n", err)
	}
	states := admin.MoveStates(declared, answers)
	for _, m := range states {
		fmt.Fprintln(c.app.stdout, m.Sentence(c.app.now()))
	}
	if len(states) == 0 {
		fmt.Fprintln(c.app.stdout, "no version moves")
	}
	c.app.printFailures(answers)
	return nil
}

type statusCommand struct {
	platformOptions
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	answers, err := c.statuses(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tFAILURE DOMAIN\tREVISION\tSTATE\tSTARTED")
	for _, a := range answers {
		if a.Err == nil {
			s := &a.Status
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", s.Instance, s.FailureDomain, s.CatalogueRevision, readiness(s), time.Unix(0, s.Incarnation).UTC().Format(time.RFC3339))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	failed := c.app.printFailures(answers)
	fmt.Fprintf(c.app.stdout, "%d of %d live entry instances answered\n", len(answers)-failed, len(answers))
	return nil
}

func readiness(s *admin.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	case s.NotReady != "":
		return "not ready: " + s.NotReady
	}
	return "not ready"
}
