package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/platform/boottime"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the life of an idle client connection; it is above the
	// time that clients are told.
	idleTimeout = time.Minute
	// maxHeader bounds the headers of a request in bytes.
	maxHeader = 64 << 10
	// watchWait is how long a watch without changes waits. Two of them are below
	// the time for which keys may be trusted without a word from the store.
	watchWait = time.Second
	// watchLag is how much later than the change a watch of an ailing store may
	// tell of it, and how long a request may take from the check to a server.
	watchLag = 1500 * time.Millisecond
	// balancerDelay is how long an instance that reports not ready still gets
	// connections: two questions of the balancer, one a second.
	balancerDelay = 2500 * time.Millisecond
	// entryGrace is how long servers whose entries lapsed while the store had
	// trouble have to register again.
	entryGrace = 2200 * time.Millisecond
	// troubled is how long after a failed call the store counts as ailing.
	troubled = 3 * time.Second
)

// Format translates what the operator and the servers write to the store.
type Format struct {
	// ConfigKey is the key of the table, and ServersPrefix that of the servers.
	ConfigKey, ServersPrefix string
	Table                    func(data []byte) (*routes.Table, error)
	Server                   func(key string, data []byte) (pool.Server, error)
	Headers                  forward.Headers
	// ReadyPath is where the balancer asks whether the instance is ready.
	ReadyPath string
}

// Config configures a Front. The listeners are closed by Run.
type Config struct {
	Instance, FailureDomain         string
	Clients, Ready, Peer, Operation net.Listener
	Store                           store.Store
	Cloud                           Cloud
	Format                          Format
	// RevokeWithin is how long after its removal a key may still be used.
	RevokeWithin time.Duration
	// DrainNotice is how long requests in progress have at a planned shutdown.
	DrainNotice time.Duration
	Log         *zap.Logger
}

// Front is an instance that forwards requests.
type Front struct {
	config   Config
	now      func() time.Time
	registry *prometheus.Registry
	pool     *pool.Pool
	follower *follow.Follower
	handler  *forward.Handler
	table    atomic.Pointer[routes.Table]
	draining atomic.Bool
	// revisions are those of the servers' entries; apply alone uses it.
	revisions map[string]int64
	wasReady  atomic.Bool
}

// New returns a front; Run starts it.
func New(c Config) (*Front, error) {
	c.Log = c.Log.With(zap.String("instance", c.Instance), zap.String("failure-domain", c.FailureDomain))
	f := &Front{config: c, now: boottime.Now, registry: prometheus.NewRegistry(), pool: pool.New(), revisions: make(map[string]int64)}
	f.follower = follow.New(follow.Config{Store: c.Store, Wait: watchWait, Apply: f.apply, Now: f.now, Log: c.Log})
	var err error
	f.handler, err = forward.New(forward.Config{
		Headers: c.Format.Headers, Instance: c.Instance, FailureDomain: c.FailureDomain, View: f.view, Pool: f.pool,
		Allowances: unlimited{}, Budget: unlimited{}, Usage: unlimited{}, Poison: unlimited{},
		Now: f.now, Random: rand.Uint64, Registerer: f.registry, Log: c.Log, Draining: f.draining.Load,
	})
	return f, err
}

type unlimited struct{}

func (unlimited) Take(*routes.Workspace, float64) (bool, time.Duration) { return true, 0 }
func (unlimited) Deposit(string)                                        {}
func (unlimited) Withdraw(string) bool                                  { return true }
func (unlimited) Began(string)                                          {}
func (unlimited) Allowed(uint64) bool                                   { return true }
func (unlimited) Lost(string, int64, uint64)                            {}

// view returns what the instance knows now.
func (f *Front) view() forward.View {
	confirmed := f.follower.Confirmed()
	return forward.View{Table: f.table.Load(), Confirmed: confirmed, Fresh: f.now().Sub(confirmed) < f.config.RevokeWithin-watchLag}
}

// Run serves until ctx ends, then shuts down as planned.
func (f *Front) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { f.follower.Run(work) })
	wg.Go(func() { f.expire(work) })
	clients := &http.Server{Handler: f.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: nil}
	ready := &http.Server{Handler: f.readiness(), ReadHeaderTimeout: headerTimeout}
	operation := &http.Server{Handler: f.operations(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	for server, listener := range map[*http.Server]net.Listener{clients: f.config.Clients, ready: f.config.Ready, operation: f.config.Operation} {
		wg.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", listener.Addr(), err)
			}
		})
	}
	f.config.Log.Info("started", zap.Stringer("clients", f.config.Clients.Addr()))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		err = f.drain(clients)
	}
	stop()
	err = errors.Join(err, clients.Close(), ready.Close(), operation.Close())
	wg.Wait()
	f.config.Log.Info("stopped", zap.Error(err))
	return err
}

// drain leaves the balancer and completes the requests in progress.
func (f *Front) drain(clients *http.Server) error {
	deadline := time.Now().Add(f.config.DrainNotice)
	f.draining.Store(true)
	f.config.Log.Info("planned shutdown started", zap.Time("deadline", deadline))
	time.Sleep(min(balancerDelay, f.config.DrainNotice/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests in progress at the end of the drain notice: %w", err)
	}
	return nil
}

// Ready reports whether the instance can serve.
func (f *Front) Ready() bool {
	v := f.view()
	return v.Table != nil && v.Fresh && !f.draining.Load() && f.pool.Len() > 0
}

func (f *Front) readiness() http.Handler {
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

func (f *Front) operations() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

// expire drops servers that did not register again, until ctx ends.
func (f *Front) expire(ctx context.Context) {
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, id := range f.pool.Expire(f.now()) {
				f.config.Log.Info("server dropped", zap.String("server", id), zap.String("reason", "entry did not come back"))
			}
		}
	}
}
