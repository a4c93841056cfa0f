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
	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Config configures an Instance. Run closes the listeners.
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
	// DrainTimeout limits how long a planned shutdown
	// waits for the requests in progress.
	DrainTimeout time.Duration
	Log          *zap.Logger
	// Move and Route are the policies for version moves and for routing; nil
	// means move.Sequential and route.Combined.
	Move  move.Policy
	Route route.Policy
	// MemoryBytes is the memory that the instance may use, in bytes, and Descriptors the
	// number of descriptors that it may open; 0 is unknown. Connections bounds the
	// connections of clients besides.
	MemoryBytes int64
	Descriptors int
	Connections connlimit.Limits
}

// Instance is an entry instance, which forwards the requests of clients to the
// backend servers.
type Instance struct {
	config   Config
	now      func() time.Time
	registry *prometheus.Registry
	metrics  *burn.Metrics
	draining atomic.Bool
	// liveCount is the number of live entry instances including this one, and
	// liveByDomain the number in each failure domain.
	liveCount    atomic.Int64
	liveByDomain atomic.Pointer[map[string]int]
	// crossDomainReports is true while load reports are also sent to other
	// failure domains.
	crossDomainReports atomic.Bool
	// polled holds the backend servers that this instance polls.
	polled atomic.Pointer[map[string]bool]

	members        *membership.Table
	exchange       *exchange.Node
	propagator     *propagation.Propagator[*catalogue.Snapshot]
	journal        *journal.Journal
	fleet          *fleet.Fleet
	moveController *moveController
	limiter        *limiter
	recorder       *recorder
	platform       *platformSync
	engine         *engine.Client
	service        *service.Client
	poison         *poison.Set
	leavingMarks   *exchange.Set[string, leavingMark]
	loadReports    *exchange.Set[string, fleet.Report]
	connections    connectionGroups
	openai         *openai.Server
	services       *services.Server
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
	i.members = membership.NewTable(membership.Config{Self: membership.Member{
		ID: c.ID, Incarnation: i.now().UnixNano(), FailureDomain: c.FailureDomain,
		PeerAddress: c.Peer.Addr().String(), OperationsAddress: c.Operations.Addr().String(),
	}})
	kvStore := kv.New(c.Store)
	table := new(evidence.Table)
	table.SetDomain(c.FailureDomain)
	instanceIncarnation := fmt.Sprintf("%s/%d", c.ID, i.members.Self().Incarnation)
	metrics, err := burn.New(burn.Config{Registry: i.registry, Now: i.now})
	if err != nil {
		return nil, err
	}
	i.metrics = metrics
	i.recorder = &recorder{instanceIncarnation: instanceIncarnation, evidence: table, metrics: metrics}
	i.initMoveController(kvStore, table)
	i.initFleet()
	if err := i.initPeers(kvStore, table); err != nil {
		return nil, err
	}
	i.initPlatform()
	if err := i.initConnections(); err != nil {
		return nil, err
	}
	i.initRequestPath()
	return i, nil
}

func (i *Instance) clientHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", i.services)
	mux.Handle("/", i.openai)
	return mux
}

// Run serves until ctx ends and then shuts down gracefully: it reports not ready
// so that the load balancer stops sending requests, completes the requests in
// progress, and stops the background tasks last.
func (i *Instance) Run(ctx context.Context) error {
	clientServer := &http.Server{Handler: i.clientHandler(), TLSConfig: i.config.ClientTLS}
	operationsServer := &http.Server{Handler: i.operationsHandler(), WriteTimeout: controlTimeout}
	peerServer := i.newPeerServer()

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return serveHTTP(i.connections.clients, clientServer, i.config.Client) })
	g.Go(func() error { return serveHTTP(i.connections.operations, operationsServer, i.config.Operations) })
	g.Go(func() error { return peerServer.Serve(i.connections.peers.Listen(i.config.Peer)) })
	for _, run := range []func(context.Context) error{
		i.exchange.Run, i.propagator.Run, i.moveController.run, i.moveController.syncVetoes,
		i.platform.syncList, i.platform.watchNotices, i.runPeriodicUpdates,
		func(ctx context.Context) error { i.fleet.Run(ctx); return nil },
	} {
		g.Go(func() error { return run(background) })
	}
	i.config.Log.Info("instance started", zap.Stringer("client-address", i.config.Client.Addr()))
	<-ctx.Done()
	err := i.drain(clientServer)
	stop()
	i.journal.Close()
	peerServer.Stop()
	err = errors.Join(err, operationsServer.Close(), g.Wait())
	i.engine.Close()
	i.service.Close()
	return err
}

func (i *Instance) newPeerServer() *grpc.Server {
	options := exchange.ServerOptions()
	if i.config.PeerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(i.config.PeerTLS)))
	}
	s := grpc.NewServer(options...)
	i.exchange.Register(s)
	return s
}

func serveHTTP(g *connlimit.Group, s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	if err := g.Serve(s, l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
