package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/config"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the life of an idle client connection.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the headers of a request in bytes.
	maxHeader = 32 << 10
)

// Config configures an Instance. The listeners are closed by Run.
type Config struct {
	ID, Region, FailureDomain, Class string
	// Price is per hour.
	Price       float64
	Reclaimable bool
	// Platform is the address of the platform's instance list and cloud API.
	Platform string
	// Store is the platform's key-value service.
	Store                    store.Store
	Client, Peer, Operations net.Listener
	ClientTLS, PeerTLS       *tls.Config
	// DrainNotice is how long requests in progress have at a planned shutdown.
	DrainNotice time.Duration
	Log         *zap.Logger
	// Move and Route are the policies; default move.Sequential and
	// route.Combined.
	Move  move.Policy
	Route route.Policy
}

// Instance is an entry instance.
type Instance struct {
	config   Config
	now      func() time.Time
	registry *prometheus.Registry
	metrics  *burn.Metrics
	draining atomic.Bool
	// live is the number of live entry instances, this one included, and
	// liveByDomain the number in each failure domain.
	live         atomic.Int64
	liveByDomain atomic.Pointer[map[string]int]
	// small is true while load reports travel to all failure domains.
	small atomic.Bool
	// polled holds the backend servers that this instance polls.
	polled atomic.Pointer[map[string]bool]

	members    *membership.Table
	exchange   *exchange.Node
	propagator *config.Propagator[*catalogue.Snapshot]
	journal    *journal.Journal
	fleet      *fleet.Fleet
	mover      *mover
	limiter    *limiter
	recorder   *recorder
	platform   *platform
	engine     *engine.Client
	service    *service.Client
	poison     *poison.Set
	leavings   *exchange.Set[string, leaving]
	reports    *exchange.Set[string, fleet.Report]
	openai     *openai.Server
	services   *services.Server
}

// New returns an instance; Run starts it.
func New(c Config) (*Instance, error) {
	if c.Move == nil {
		c.Move = move.Sequential{}
	}
	if c.Route == nil {
		c.Route = new(route.ByEntry[route.Combined, *route.Combined])
	}
	c.Log = c.Log.With(zap.String("instance", c.ID), zap.String("failure-domain", c.FailureDomain))
	i := &Instance{config: c, now: time.Now, registry: prometheus.NewRegistry(), poison: new(poison.Set)}
	i.members = membership.NewTable(membership.Member{
		ID: c.ID, Incarnation: i.now().UnixNano(), FailureDomain: c.FailureDomain,
		PeerAddress: c.Peer.Addr().String(), OperationsAddress: c.Operations.Addr().String(),
	})
	values := kv.New(c.Store)
	table := new(evidence.Table)
	table.SetDomain(c.FailureDomain)
	node := fmt.Sprintf("%s/%d", c.ID, i.members.Self().Incarnation)
	metrics, err := burn.New(burn.Config{Registry: i.registry, Now: i.now})
	if err != nil {
		return nil, err
	}
	i.metrics = metrics
	i.recorder = &recorder{node: node, evidence: table, metrics: metrics}
	i.newMover(values, table)
	i.newFleet()
	if err := i.newPeers(values, table); err != nil {
		return nil, err
	}
	i.newPlatform()
	i.newRequestPath()
	return i, nil
}

func (i *Instance) clients() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", i.services)
	mux.Handle("/", i.openai)
	return mux
}

// Run serves until ctx ends, then shuts down gracefully: it leaves the load
// balancer, completes the requests in progress and only then stops the rest.
func (i *Instance) Run(ctx context.Context) error {
	clients := &http.Server{
		Handler: i.clients(), TLSConfig: i.config.ClientTLS,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	operations := &http.Server{Handler: i.operations(), ReadHeaderTimeout: headerTimeout, WriteTimeout: headerTimeout}
	peers := i.peerServer()

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return serveHTTP(clients, i.config.Client) })
	g.Go(func() error { return serveHTTP(operations, i.config.Operations) })
	g.Go(func() error { return peers.Serve(i.config.Peer) })
	for _, run := range []func(context.Context) error{
		i.exchange.Run, i.propagator.Run, i.mover.run, i.mover.keep,
		i.platform.listen, i.platform.notices, i.share,
		func(ctx context.Context) error { i.fleet.Run(ctx); return nil },
	} {
		g.Go(func() error { return run(background) })
	}
	i.config.Log.Info("instance started", zap.Stringer("client-address", i.config.Client.Addr()))
	<-ctx.Done()
	err := i.drain(clients)
	stop()
	i.journal.Close()
	peers.Stop()
	err = errors.Join(err, operations.Close(), g.Wait())
	i.engine.Close()
	i.service.Close()
	return err
}

func (i *Instance) peerServer() *grpc.Server {
	options := exchange.ServerOptions()
	if i.config.PeerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(i.config.PeerTLS)))
	}
	s := grpc.NewServer(options...)
	i.exchange.Register(s)
	return s
}

func serveHTTP(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
