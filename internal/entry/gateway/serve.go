package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// exchangeWithPeers serves calls of peers, and sends them digests of the shared
// counters and crash records, until ctx ends.
func (f *Instance) exchangeWithPeers(ctx context.Context) {
	server := grpc.NewServer(exchange.ServerOptions()...)
	f.exchange.Register(server)
	go func() {
		<-ctx.Done()
		server.Stop()
	}()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := f.exchange.Run(ctx); err != nil {
			f.config.Log.Error("exchange with peers failed", zap.Error(err))
		}
	})
	if err := server.Serve(f.connections.peers.Listen(f.config.Peer)); err != nil && ctx.Err() == nil {
		f.config.Log.Error("serving peers failed", zap.Error(err))
	}
	wg.Wait()
}

// drain reports the instance as not ready, waits balancerDelay, or half of the
// notice if that is shorter, so that the load balancer stops sending connections,
// and then lets the requests in progress complete. Requests that come on open connections
// after that are refused: there may be too little time left for them. Those that are
// still in progress at the end of the notice get an answer.
func (f *Instance) drain(clients *http.Server) error {
	deadline := time.Now().Add(f.config.DrainTimeout)
	f.draining.Store(true)
	f.exchange.Leave()
	f.config.Log.Info("planned shutdown started", zap.Time("deadline", deadline))
	time.Sleep(min(balancerDelay, f.config.DrainTimeout/2))
	f.refusing.Store(true)
	f.handler.StateChanged()
	defer time.AfterFunc(time.Until(deadline)-answerMargin, f.endClients).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := clients.Shutdown(ctx)
	f.awaitSendsForPeers(ctx)
	if err != nil {
		return fmt.Errorf("drain notice ended before all requests were complete: %w", err)
	}
	return nil
}

// drainPoll is the time between two checks of whether requests of other instances have ended.
const drainPoll = 20 * time.Millisecond

// awaitSendsForPeers waits until no request of another instance is in progress.
func (f *Instance) awaitSendsForPeers(ctx context.Context) {
	for ctx.Err() == nil && f.handler.SendingForPeers() > 0 {
		wait.For(ctx, drainPoll)
	}
}

// Ready reports whether the instance can serve requests: it has a fresh table and
// at least one server, and is not draining.
func (f *Instance) Ready() bool {
	v := f.view()
	return v.Table != nil && v.Fresh && !f.draining.Load() && f.pool.Len() > 0
}

func (f *Instance) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+f.config.Format.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		ready := f.Ready()
		if f.wasReady.Swap(ready) != ready {
			f.config.Log.Info("readiness changed", zap.Bool("ready", ready), zap.Bool("draining", f.draining.Load()),
				zap.Int("servers", f.pool.Len()), zap.Duration("confirmed-before", f.now().Sub(f.follower.Confirmed())))
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (f *Instance) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}
