package main

import (
	"context"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

type reportCommand struct {
	Burn burnCommand `command:"burn" description:"print the service-level burn report"`
}

type burnCommand struct {
	storeOptions
	Format string `long:"format" env:"WASABIWORKS_FORMAT" choice:"text" choice:"json" choice:"html" default:"text" description:"format of the report"`
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	snapshot, err := c.client().Load(ctx)
	if err != nil {
		return err
	}
	fleet := admin.NewFleet(admin.FleetConfig{Platform: c.Platform})
	live, err := fleet.Instances(ctx)
	if err != nil {
		return err
	}
	var entries []instances.Instance
	for _, i := range live {
		if i.Role == instances.RoleEntry {
			entries = append(entries, i)
		}
	}
	in := burn.Input{Snapshot: snapshot, Instances: live, Statuses: fleet.Statuses(ctx, entries), Scrapes: scrapes(ctx, fleet, entries)}
	return burn.Build(in, c.app.now()).Write(c.app.out, c.Format)
}

// maxScrapes bounds the concurrent scrapes.
const maxScrapes = 32

func scrapes(ctx context.Context, fleet *admin.Fleet, entries []instances.Instance) []burn.Scrape {
	scrapes := make([]burn.Scrape, len(entries))
	var g errgroup.Group
	g.SetLimit(maxScrapes)
	for i, e := range entries {
		g.Go(func() error {
			data, err := fleet.Read(ctx, e, "/metrics")
			scrapes[i] = burn.Scrape{Instance: e.ID, Data: data, Err: err}
			return nil
		})
	}
	_ = g.Wait() // errors are in the scrapes
	return scrapes
}
