package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
)

// Run serves until ctx ends, then performs a planned shutdown. It returns early
// if a listener fails.
func (f *Instance) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	// dutyCtx ends with ctx, so that a draining instance gives up the duty.
	dutyCtx, stopDuty := context.WithCancel(ctx)
	defer stopDuty()
	defer f.endClients()
	var wg, dutyDone sync.WaitGroup
	f.startWork(workCtx, &wg)
	dutyDone.Go(func() { f.duty.Run(dutyCtx) })
	servers := f.newServers()
	failed := make(chan error, len(servers))
	for _, s := range servers {
		wg.Go(func() {
			if err := s.serve(); err != nil {
				failed <- err
			}
		})
	}
	f.config.Log.Info("instance started", zap.Stringer("clients", f.config.Clients.Addr()))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = f.drain(servers[0].server)
	}
	f.usage.Flush(workCtx)
	stopDuty()
	dutyDone.Wait()
	f.usage.HandOver(workCtx)
	stopWork()
	for _, s := range servers {
		err = errors.Join(err, s.server.Close())
	}
	wg.Wait()
	f.crashChecks.Wait()
	f.restores.Wait()
	f.config.Log.Info("instance stopped", zap.Error(err))
	return err
}

// startWork starts what runs in the background until ctx ends.
func (f *Instance) startWork(ctx context.Context, wg *sync.WaitGroup) {
	work := []func(context.Context){
		f.follower.Run, f.followConfigurations, f.handler.WatchReach, f.proxy.Run, f.expireServers, f.register,
		f.refreshAllowancesAndCrashes, f.collectAllowances, f.exchangeWithPeers, f.chooseTrackers, f.updateSenders,
		f.claims.Run, f.mover.run, f.storeFleetSize, f.sampleBurn,
	}
	if f.config.UsageWindow > 0 {
		work = append(work, f.usage.Run)
	}
	if f.config.UsageWindow > 0 && f.config.Scale {
		work = append(work, (&scaler{instance: f}).run)
	}
	for _, run := range work {
		wg.Go(func() { run(ctx) })
	}
}

// listeningServer is an HTTP server with its listener and the limits of its connections.
type listeningServer struct {
	server   *http.Server
	listener net.Listener
	group    *connlimit.Group
}

// newServers returns the servers of the instance, that for clients first.
func (f *Instance) newServers() []listeningServer {
	return []listeningServer{
		{&http.Server{Handler: f.handler}, f.config.Clients, f.connections.clients},
		{&http.Server{Handler: f.readinessHandler()}, f.config.Ready, f.connections.ready},
		{&http.Server{Handler: f.operationsHandler()}, f.config.Operations, f.connections.operations},
	}
}

// serve serves until the server is closed.
func (s listeningServer) serve() error {
	if err := s.group.Serve(s.server, s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}
