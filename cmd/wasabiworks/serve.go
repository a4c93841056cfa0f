package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/entry/instance"
	"wasabiworks.example/wasabiworks/internal/operator/settings"
	"wasabiworks.example/wasabiworks/platform"
)

type serveCommand struct {
	settings.Settings
	app *app
}

// Policies, by the names that the settings accept.
var (
	routePolicies = map[string]route.Policy{
		"combined": new(route.ByEntry[route.Combined, *route.Combined]), "affinity": route.Affinity{},
		"round-robin": new(route.ByEntry[route.RoundRobin, *route.RoundRobin]), "least-loaded": route.LeastLoaded{},
	}
	movePolicies = map[string]move.Policy{"sequential": move.Sequential{}, "fixed-steps": move.FixedSteps{}}
)

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	limitHeap(c.MemoryBytes())
	// Further signals have no effect: a second SIGTERM does not speed up a planned
	// shutdown.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i, err := c.newInstance()
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// newInstance opens the listeners and creates the instance.
func (c *serveCommand) newInstance() (*instance.Instance, error) {
	log, err := c.logger()
	if err != nil {
		return nil, err
	}
	clientTLS, peerTLS, err := c.TLS()
	if err != nil {
		return nil, err
	}
	addresses := []string{c.ClientAddress, c.PeerAddress, c.OperationsAddress}
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		if listeners[i], err = net.Listen("tcp", address); err != nil {
			return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), closeAll(listeners[:i]))
		}
	}
	return instance.New(instance.Config{
		ID: c.Instance, Region: c.Region, FailureDomain: c.FailureDomain, Class: c.Class,
		Price: c.Price, Reclaimable: c.Reclaimable, Platform: c.Platform, Store: platform.NewStore(c.Platform),
		Client: listeners[0], Peer: listeners[1], Operations: listeners[2],
		ClientTLS: clientTLS, PeerTLS: peerTLS, DrainTimeout: c.DrainNotice, Log: log,
		MemoryBytes: c.MemoryBytes(), Descriptors: settings.Descriptors(), Connections: c.Limits(),
		Route: routePolicies[c.RoutePolicy], Move: movePolicies[c.MovePolicy],
	})
}

func closeAll(ls []net.Listener) (err error) {
	for _, l := range ls {
		err = errors.Join(err, l.Close())
	}
	return err
}

func (c *serveCommand) logger() (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = level
	return config.Build()
}
