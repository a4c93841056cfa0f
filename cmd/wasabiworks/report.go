package main

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/entry/gateway"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/platform"
)

type reportCommand struct {
	Burn    burnCommand        `command:"burn" description:"print the service-level burn report"`
	Forward forwardBurnCommand `command:"forward" description:"print the service-level burn report of the instances that forward on the users' platform"`
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
	var entryInstances []instances.Instance
	for _, i := range live {
		if i.Role == instances.RoleEntry {
			entryInstances = append(entryInstances, i)
		}
	}
	in := burn.Input{Snapshot: snapshot, Instances: live, Statuses: fleet.Statuses(ctx, entryInstances), Scrapes: scrapeMetrics(ctx, fleet, entryInstances)}
	return burn.Build(in, c.app.now()).Write(c.app.stdout, c.Format)
}

type forwardBurnCommand struct {
	Store   string        `long:"store" env:"WASABIWORKS_STORE" value-name:"IP:PORT" description:"address of the platform's key-value store" required:"yes"`
	Success float64       `long:"success" env:"WASABIWORKS_SUCCESS" value-name:"SHARE" default:"0.99" description:"share of the requests that are to be answered within their route's objective, above 0 and below 1"`
	Timeout time.Duration `long:"timeout" env:"WASABIWORKS_TIMEOUT" value-name:"DURATION" default:"30s" description:"time that the command may take"`
	Format  string        `long:"format" env:"WASABIWORKS_FORMAT" choice:"text" choice:"json" choice:"html" default:"text" description:"format of the report"`
	app     *app
}

// Execute implements flags.Commander.
func (c *forwardBurnCommand) Execute([]string) error {
	if c.Success <= 0 || c.Success >= 1 {
		return fmt.Errorf("--success is %v; allowed: above 0 and below 1", c.Success)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	s := platform.NewStore(c.Store)
	item, err := s.Get(ctx, platform.ConfigKey)
	if err != nil {
		return fmt.Errorf("read the configuration: %w", err)
	}
	table, err := platform.DecodeConfig(item.Value)
	if err != nil {
		return err
	}
	members, err := gateway.Registered(ctx, s)
	if err != nil {
		return fmt.Errorf("read the instances: %w", err)
	}
	entryInstances := make([]instances.Instance, 0, len(members))
	for _, m := range members {
		entryInstances = append(entryInstances, instances.Instance{ID: m.ID, Role: instances.RoleEntry, FailureDomain: m.FailureDomain, OperationsAddress: m.OperationsAddress})
	}
	fleet := admin.NewFleet(admin.FleetConfig{})
	in := burn.Input{Snapshot: objectiveSnapshot(table, item.Revision, c.Success), Scrapes: scrapeMetrics(ctx, fleet, entryInstances)}
	return burn.Build(in, c.app.now()).Write(c.app.stdout, c.Format)
}

// objectiveSnapshot returns a catalogue snapshot with one entry per route of a
// table; the entry has the route's name and objective.
func objectiveSnapshot(t *routes.Table, revision int64, success float64) *catalogue.Snapshot {
	var c catalogue.Catalogue
	for _, r := range t.Routes {
		c.Entries = append(c.Entries, catalogue.Entry{Name: r.Name, Objective: catalogue.Objective{FirstToken: r.Objective, Success: success}})
	}
	return catalogue.NewSnapshot(revision, &c)
}

const maxConcurrentScrapes = 32

// scrapeMetrics reads the metrics of the target instances. The results are in the
// order of targets.
func scrapeMetrics(ctx context.Context, fleet *admin.Fleet, targets []instances.Instance) []burn.Scrape {
	scrapes := make([]burn.Scrape, len(targets))
	var g errgroup.Group
	g.SetLimit(maxConcurrentScrapes)
	for i, t := range targets {
		g.Go(func() error {
			data, err := fleet.Read(ctx, t, "/metrics")
			scrapes[i] = burn.Scrape{Instance: t.ID, Data: data, Err: err}
			return nil
		})
	}
	_ = g.Wait() // errors are returned in the scrapes
	return scrapes
}
