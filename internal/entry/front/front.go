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
	"google.golang.org/grpc"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/retry"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/peer/allowance"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	"wasabiworks.example/wasabiworks/internal/peer/duty"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/usage"
	"wasabiworks.example/wasabiworks/internal/platform/boottime"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
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
	// keyMargin is how long before its time a key stops working that the store
	// does not confirm. It covers the way of a request from the check to the
	// server, and the part of a second for which a watch of an ailing store may
	// hear nothing although it ends well.
	keyMargin = 700 * time.Millisecond
	// balancerDelay is how long an instance that reports not ready still gets
	// connections: two questions of the balancer, one a second.
	balancerDelay = 2500 * time.Millisecond
	// entryGrace is how long servers whose entries lapsed while the store was
	// away have to register again. It is below the two seconds after which a
	// server that left must get no requests.
	entryGrace = 1700 * time.Millisecond
	// regained is how long after a failed call an entry that is gone counts as
	// lapsed: the first answers after it tell of all that lapsed.
	regained = 800 * time.Millisecond
	// expirePeriod is how often it is looked for servers that did not register
	// again.
	expirePeriod = 200 * time.Millisecond
	// defaultWindow is the length of a window of counts where usage is not
	// reported.
	defaultWindow = 5 * time.Second
	// dutyKey is the key of the holder of the duties.
	dutyKey = "wasabiworks/duty"
	// usagePrefix is where the sums of windows are kept before they are
	// reported.
	usagePrefix = "wasabiworks/usage/"
)

// Format translates what the operator and the servers write to the store.
type Format struct {
	// ConfigKey is the key of the table, and ServersPrefix that of the servers.
	ConfigKey, ServersPrefix string
	Table                    func(data []byte) (*routes.Table, error)
	Server                   func(key string, data []byte) (pool.Server, error)
	// MovesPrefix is where the operator orders moves.
	MovesPrefix string
	Move        func(key string, data []byte) (MoveOrder, error)
	MoveStatus  func(service, to string, state MoveState) (key string, value []byte, err error)
	Headers     forward.Headers
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
	// Window is the length of a window of usage; 0 reports none.
	Window time.Duration
	// Scale tells to order servers.
	Scale bool
	Retry RetryLimit
	// AllowanceSlack is what workspaces may use beyond their allowance, in
	// units.
	AllowanceSlack float64
	// DrainNotice is how long requests in progress have at a planned shutdown.
	DrainNotice time.Duration
	Log         *zap.Logger
	// Registry takes the instance's metrics; default one of its own.
	Registry *prometheus.Registry
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
	// silent holds until when a peer is not asked to relay the store; the
	// follower alone uses it.
	silent map[string]time.Time
	// revisions are those of the servers' entries; apply alone uses it.
	revisions map[string]int64
	wasReady  atomic.Bool

	node    string // instance ID, a slash and the incarnation
	members *membership.Table
	// registered are the instances' entries; apply alone uses it. listed is the
	// same for readers.
	registered map[string]membership.Member
	listed     atomic.Pointer[[]membership.Member]
	count      recent
	exchange   *exchange.Node
	allowances *allowance.Limiter
	crashes    crash.Records
	checks     sync.WaitGroup // of servers that may have crashed
	// counters are what instances count for each other: what workspaces spent,
	// and how requests on either version of a move ended.
	counters evidence.Table
	usage    *usage.Reporter
	burn     *burn.Metrics
	duty     *duty.Holder
	mover    *mover
	plans    sync.Map // service name to the planned number of servers
}

// New returns a front; Run starts it.
func New(c Config) (*Front, error) {
	c.Log = c.Log.With(zap.String("instance", c.Instance))
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	var err error
	if c.Store, err = store.Measured(c.Store, c.Registry); err != nil {
		return nil, err
	}
	if c.Cloud, err = newMeasuredCloud(c.Cloud, c.Registry); err != nil {
		return nil, err
	}
	f := &Front{
		config: c, now: boottime.Now, registry: c.Registry, pool: pool.New(),
		silent: make(map[string]time.Time), revisions: make(map[string]int64), registered: make(map[string]membership.Member),
	}
	f.follower = follow.New(follow.Config{Store: c.Store, Wait: watchWait, Apply: f.apply, Relay: f.relay, Now: f.now, Log: c.Log})
	if err := f.newPeers(); err != nil {
		return nil, err
	}
	if f.burn, err = burn.New(burn.Config{Registry: f.registry}); err != nil {
		return nil, err
	}
	f.handler, err = forward.New(forward.Config{
		Headers: c.Format.Headers, FailureDomain: c.FailureDomain, View: f.view, Pool: f.pool,
		Allowances: f.allowances, Usage: f.usage, Poison: poisons{f}, Versions: f.mover,
		Budget: &budgets{config: retry.SharedConfig{
			Ratio: c.Retry.Ratio, Slack: c.Retry.Slack, Window: c.Retry.Window, Instances: f.instances, Now: f.now,
		}},
		Ended: f.ended, Now: f.now, Random: rand.Uint64, Registerer: f.registry, Log: c.Log, Draining: f.draining.Load,
	})
	return f, err
}

// newPeers composes what instances do together.
func (f *Front) newPeers() (err error) {
	c := &f.config
	incarnation := time.Now().UnixNano()
	f.node = fmt.Sprintf("%s/%d", c.Instance, incarnation)
	f.members = membership.NewTable(membership.Member{
		ID: c.Instance, Incarnation: incarnation, FailureDomain: c.FailureDomain, PeerAddress: c.Peer.Addr().String(),
		OperationsAddress: c.Operation.Addr().String(),
	})
	if f.allowances, err = f.newAllowances(); err != nil {
		return err
	}
	f.crashes = crash.Records{Set: new(poison.Set), Now: time.Now}
	window := c.Window
	if window == 0 {
		window = defaultWindow
	}
	f.mover = newMover(f)
	f.duty = duty.New(duty.Config{Store: c.Store, Key: dutyKey, Instance: c.Instance, Now: f.now, Log: c.Log})
	f.usage = usage.New(usage.Config{
		Instance: c.Instance, Node: f.node, Window: window, Duty: f.duty, Store: c.Store, Prefix: usagePrefix,
		Report: c.Cloud.ReportUsage,
		Tell: func(ctx context.Context, id string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
			return f.exchange.Usage(ctx, id, r)
		},
		Live: func() []string { return f.members.Live("", time.Now()) }, Registered: f.registeredNow, Log: c.Log,
	})
	f.counters.SetDomain(c.FailureDomain)
	counters := exchange.Evidence{Table: &f.counters, Domain: c.FailureDomain, Self: c.Instance}
	f.exchange, err = exchange.New(exchange.Config{
		Members:    f.members,
		Sources:    []exchange.Source{counters, f.crashes},
		Sinks:      []exchange.Sink{counters, f.crashes},
		Services:   exchange.Services{Usage: f.usage.Serve, Watch: f.serveWatch, Spend: f.serveSpend},
		Registerer: f.registry,
		Logger:     c.Log,
	})
	return err
}

// view returns what the instance knows now.
func (f *Front) view() forward.View {
	confirmed := f.follower.Confirmed()
	return forward.View{Table: f.table.Load(), Confirmed: confirmed, Fresh: f.now().Sub(confirmed) < f.config.RevokeWithin-keyMargin}
}

// Run serves until ctx ends, then shuts down as planned.
func (f *Front) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	// A draining instance leaves the duties to others.
	duties, release := context.WithCancel(ctx)
	defer release()
	var wg sync.WaitGroup
	wg.Go(func() { f.follower.Run(work) })
	wg.Go(func() { f.expire(work) })
	wg.Go(func() { f.register(work) })
	wg.Go(func() { f.share(work) })
	wg.Go(func() { f.exchangeWithPeers(work) })
	var holding sync.WaitGroup
	holding.Go(func() { f.duty.Run(duties) })
	wg.Go(func() { f.mover.run(work) })
	wg.Go(func() { f.sampleBurn(work) })
	if f.config.Window > 0 {
		wg.Go(func() { f.usage.Run(work) })
	}
	if f.config.Window > 0 && f.config.Scale {
		wg.Go(func() { (&scaler{front: f}).run(work) })
	}
	clients := &http.Server{Handler: f.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
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
	f.usage.Flush(work)
	release()
	holding.Wait()
	f.usage.HandOver(work)
	stop()
	err = errors.Join(err, clients.Close(), ready.Close(), operation.Close())
	wg.Wait()
	f.checks.Wait()
	f.config.Log.Info("stopped", zap.Error(err))
	return err
}

// exchangeWithPeers serves peers and exchanges with them until ctx ends.
func (f *Front) exchangeWithPeers(ctx context.Context) {
	server := grpc.NewServer(exchange.ServerOptions()...)
	f.exchange.Register(server)
	go func() {
		<-ctx.Done()
		server.Stop()
	}()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := f.exchange.Run(ctx); err != nil {
			f.config.Log.Error("exchange with peers ended", zap.Error(err))
		}
	})
	if err := server.Serve(f.config.Peer); err != nil && ctx.Err() == nil {
		f.config.Log.Error("peers are not served", zap.Error(err))
	}
	wg.Wait()
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
	wait.Every(ctx, expirePeriod, func() {
		for _, id := range f.pool.Expire(f.now()) {
			f.config.Log.Info("server dropped", zap.String("server", id), zap.String("reason", "entry did not come back"))
		}
	})
}
