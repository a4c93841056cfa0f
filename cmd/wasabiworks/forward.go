package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/entry/gateway"
	"wasabiworks.example/wasabiworks/internal/operator/logs"
	"wasabiworks.example/wasabiworks/internal/operator/settings"
	"wasabiworks.example/wasabiworks/platform"
)

type forwardCommand struct {
	settings.Forward
	app *app
}

// limitHeap makes the garbage collector run more often as the heap nears the memory that
// the instance may use, unless that is 0.
func limitHeap(memoryBytes int64) {
	if heap := (limit.Resources{MemoryBytes: memoryBytes}).Shares().HeapBytes; heap > 0 {
		debug.SetMemoryLimit(heap)
	}
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	limitHeap(c.MemoryBytes())
	registry := prometheus.NewRegistry()
	log, logWriter, err := c.logger(c.app.stdout, registry)
	if err != nil {
		return err
	}
	defer logWriter.Close() // Close never fails
	defer zap.RedirectStdLog(log)()
	// Further signals have no effect: a second SIGTERM does not speed up a planned
	// shutdown.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() {
		for range hangup {
			log.Info("ignoring SIGHUP; the settings of a running instance cannot change")
		}
	}()
	f, err := c.newInstance(log, registry)
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

// newInstance opens the listeners and creates the instance.
func (c *forwardCommand) newInstance(log *zap.Logger, registry *prometheus.Registry) (*gateway.Instance, error) {
	addresses := []string{c.ClientAddress, c.ReadyAddress, c.PeerAddress, c.OperationsAddress}
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		var err error
		if listeners[i], err = net.Listen("tcp", address); err != nil {
			return nil, errors.Join(fmt.Errorf("listen on %s: %w", address, err), closeAll(listeners[:i]))
		}
	}
	window := c.UsageWindow
	if !c.HasDuty("metering") {
		window = 0
	}
	return gateway.New(gateway.Config{
		ID: c.Instance, FailureDomain: c.FailureDomain, Capacity: int64(1000 * c.Cores),
		Clients: listeners[0], Ready: listeners[1], Peer: listeners[2], Operations: listeners[3],
		Store: platform.NewStore(c.Store), Cloud: platform.NewCloud(c.Cloud, c.Instance), Format: platform.Format(),
		UsageWindow: window, Scale: c.HasDuty("autoscale"), AllowanceSlack: c.AllowanceSlack,
		Retry:        gateway.RetryLimit{Ratio: c.RetryRatio, Slack: c.RetrySlack, Window: c.RetryWindow},
		RevokeWithin: c.RevokeWithin, DrainTimeout: c.DrainNotice, MaxResponseBytes: c.MaxResponseBytes, MemoryBytes: c.MemoryBytes(), Descriptors: settings.Descriptors(), Connections: c.Limits(), Log: log, Registry: registry,
	})
}

// logger returns a logger that writes to out without blocking its callers; lines
// are dropped if out is too slow. The writer must be closed when the logger is no
// longer used.
func (c *forwardCommand) logger(out io.Writer, r prometheus.Registerer) (*zap.Logger, *logs.Writer, error) {
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return nil, nil, err
	}
	w, err := logs.New(out, r)
	if err != nil {
		return nil, nil, err
	}
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, level)), w, nil
}
