package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
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
	// Platform is the address of the platform API.
	Platform                 string
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
	store := kv.New(kv.Config{Address: c.Platform})
	table := new(evidence.Table)
	table.SetDomain(c.FailureDomain)
	node := fmt.Sprintf("%s/%d", c.ID, i.members.Self().Incarnation)
	metrics, err := burn.New(burn.Config{Registry: i.registry, Now: i.now})
	if err != nil {
		return nil, err
	}
	i.metrics = metrics
	i.recorder = &recorder{node: node, evidence: table, metrics: metrics}
	i.newMover(store, table)
	i.newFleet()
	if err := i.newPeers(store, table); err != nil {
		return nil, err
	}
	i.newPlatform()
	i.newRequestPath()
	return i, nil
}

func (i *Instance) newMover(store kv.Store, table *evidence.Table) {
	i.mover = &mover{
		policy: i.config.Move, evidence: table, isolated: i.members.Isolated, store: store, now: i.now,
		log: i.config.Log, metrics: i.metrics,
		holder: func() bool { return i.members.Holder(i.now()) == i.config.ID }, wake: make(chan struct{}, 1), accepted: make(chan struct{}, 1),
		stored: make(map[string]bool),
	}
	i.mover.vetoes = newVetoes(i.mover.vetoed)
}

func (i *Instance) newFleet() {
	i.engine = engine.New(engine.Config{})
	i.service = service.New(service.Config{})
	i.leavings = newLeavings(func(l leaving) {
		if l.reclaim.IsZero() {
			i.fleet.PeerLeaving(l.backend, l.until)
			return
		}
		i.fleet.Notice(l.backend, l.reclaim)
	}, i.now)
	i.reports = newReports(i.relaysReport, func(r fleet.Report) { i.fleet.Report(r) }, i.now)
	i.fleet = fleet.New(fleet.Config{
		Poller: poller{i.engine},
		Share:  i.polls,
		Nodes:  func() int { return int(i.live.Load()) },
		OnLeaving: func(m fleet.Mark) {
			if i.leavings.Put(leaving{backend: m.Backend, until: m.Deadline}) {
				i.exchange.Notify()
			}
		},
		OnReport: i.publishReport,
	})
}

// polls reports whether this instance polls a backend server.
func (i *Instance) polls(id string) bool {
	polled := i.polled.Load()
	return polled != nil && (*polled)[id]
}

// countLive counts the live entry instances.
func (i *Instance) countLive() {
	ids := i.members.Live("", i.now())
	byDomain := make(map[string]int)
	for _, id := range ids {
		byDomain[i.domainOf(id)]++
	}
	i.live.Store(int64(len(ids)))
	i.liveByDomain.Store(&byDomain)
}

// liveIn returns the number of live entry instances of a failure domain.
func (i *Instance) liveIn(domain string) int {
	if m := i.liveByDomain.Load(); m != nil {
		return (*m)[domain]
	}
	return 0
}

// assign computes which backend servers this instance polls: each server is
// polled by one live instance of its failure domain.
func (i *Instance) assign() {
	live := i.members.Live(i.config.FailureDomain, i.now())
	polled := make(map[string]bool)
	i.platform.domains.Range(func(id, domain any) bool {
		if domain == i.config.FailureDomain && membership.Owner(xxhash.Sum64String(id.(string)), live) == i.config.ID {
			polled[id.(string)] = true
		}
		return true
	})
	i.polled.Store(&polled)
}

// domainOf returns the failure domain of an entry instance, or "".
func (i *Instance) domainOf(id string) string {
	m, _ := i.members.Member(id)
	return m.FailureDomain
}

// publishReport spreads a report of a server that this instance polls, if it
// says something new or the last one is getting old.
func (i *Instance) publishReport(r fleet.Report) {
	have, ok := i.reports.Get(r.Backend)
	if !ok || r.At.Sub(have.At) >= reportRepeat || !sameLoad(have, r) {
		i.reports.Put(r)
	}
}

// relaysReport reports whether a member is sent a load report. The members of
// the failure domain get it from the instance that polls the server. In a small
// fleet reports also go to other failure domains, and are passed on there.
func (i *Instance) relaysReport(to membership.Member, r fleet.Report) bool {
	small := i.small.Load()
	if i.polls(r.Backend) {
		return small || to.FailureDomain == i.config.FailureDomain
	}
	domain, ok := i.platform.domains.Load(r.Backend)
	return small && ok && domain != i.config.FailureDomain && to.FailureDomain == i.config.FailureDomain
}

// servers returns the number of backend servers that take work.
func (i *Instance) servers() int {
	n := 0
	if s := i.mover.Snapshot(); s != nil {
		for j := range s.Catalogue.Entries {
			n += len(i.fleet.View(s.Catalogue.Entries[j].Name))
		}
	}
	return n
}

func (i *Instance) newPeers(store kv.Store, table *evidence.Table) error {
	demands := newDemands(i.config.ID, i.config.FailureDomain, i.now)
	i.limiter = &limiter{
		node: i.config.ID, domain: i.config.FailureDomain, fleet: i.fleet, demands: demands, snapshot: i.mover.Snapshot,
		domainOf: i.domainOf,
		live:     i.liveIn,
		nodes:    func() int { return max(1, int(i.live.Load())) },
	}
	evidenceExchange := exchange.Evidence{Table: table, Self: i.config.ID, Domain: i.config.FailureDomain, Known: i.mover.known}
	records := crashes{i.poison, i.now}
	var err error
	i.exchange, err = exchange.New(exchange.Config{
		Members: i.members,
		Sources: []exchange.Source{i.mover.vetoes, i.leavings, records, evidenceExchange, i.reports, demands},
		Sinks:   []exchange.Sink{i.mover.vetoes, i.leavings, records, evidenceExchange, i.reports, demands},
		Services: exchange.Services{
			Pull: func(ctx context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
				return i.propagator.ServePull(ctx, r)
			},
			Reserve: func(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
				return i.journal.ServeReserve(ctx, r)
			},
			Complete: func(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
				return i.journal.ServeComplete(ctx, r)
			},
			Handover: i.adopt,
		},
		Revision: func() int64 { return i.propagator.Revision() },
		Watching: func() bool { return i.propagator.Watching() },
		Heard: func(from membership.Member, revision int64, watching bool) {
			// The digest of a peer with a catalogue held its vetoes.
			if revision > 0 {
				i.mover.settled.Store(true)
			}
			i.propagator.Heard(from.ID, from.FailureDomain, revision, watching)
		},
		TLS:        i.config.PeerTLS,
		Registerer: i.registry,
		Logger:     i.config.Log,
	})
	if err != nil {
		return err
	}
	if err := i.newPropagator(store); err != nil {
		return err
	}
	i.journal, err = journal.New(journal.Config{
		Self: i.config.ID, Incarnation: i.members.Self().Incarnation, Store: store, Peers: i.exchange,
		Live:       func() []string { return i.members.Live("", i.now()) },
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) newPropagator(store kv.Store) (err error) {
	i.propagator, err = config.New(config.Config[*catalogue.Snapshot]{
		Self: i.config.ID, FailureDomain: i.config.FailureDomain, Store: store,
		Decode: func(revision int64, data []byte) (*catalogue.Snapshot, error) {
			c, err := catalogue.Decode(data)
			if err != nil {
				return nil, err
			}
			return catalogue.NewSnapshot(revision, c), nil
		},
		Changed: func(revision int64, s *catalogue.Snapshot) {
			i.mover.accept(s)
			i.config.Log.Info("catalogue is in effect", zap.Int64("revision", revision), zap.String("operation", s.Catalogue.Operation))
		},
		Holder: func() string { return i.members.Holder(i.now()) },
		Peers:  func() []string { return i.members.Live("", i.now()) },
		Pull:   i.exchange.Pull, Notify: i.exchange.Notify,
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) newPlatform() {
	i.platform = &platform{
		list:    instances.New(instances.Config{Address: i.config.Platform}),
		cloud:   cloud.New(cloud.Config{Address: i.config.Platform}),
		self:    i.listed,
		members: i.members,
		fleet:   i.fleet,
		reclaimed: func(id string, deadline time.Time) {
			if i.leavings.Put(leaving{backend: id, until: i.now().Add(markKept), reclaim: deadline}) {
				i.exchange.Notify()
			}
		},
		prices: i.recorder.setPrice,
		now:    i.now,
		log:    i.config.Log,
	}
}

// listed is this instance as the instance list has it.
func (i *Instance) listed() instances.Instance {
	state := instances.StateLive
	if i.draining.Load() {
		state = instances.StateLeaving
	}
	return instances.Instance{
		ID: i.config.ID, Role: instances.RoleEntry, Region: i.config.Region, FailureDomain: i.config.FailureDomain,
		Address: i.config.Client.Addr().String(), PeerAddress: i.config.Peer.Addr().String(),
		OperationsAddress: i.config.Operations.Addr().String(), State: state,
		Class: i.config.Class, Reclaimable: i.config.Reclaimable, Price: i.config.Price,
	}
}

func (i *Instance) newRequestPath() {
	node := i.recorder.node
	budget := &budgets{entryOf: i.platform.entryOf}
	i.openai = openai.New(openai.Config{
		Node: node, FailureDomain: i.config.FailureDomain, Snapshots: i.mover, Limiter: i.limiter, Versions: i.mover,
		Router: i.config.Route, Fleet: i.fleet, Engine: i.engine, Budget: budget,
		Poison:   poisons{i.poison, func() { i.exchange.Notify() }, i.now},
		Recorder: i.recorder, Now: i.now, Random: rand.Uint64,
	})
	i.services = services.New(services.Config{
		Node: node, FailureDomain: i.config.FailureDomain, Snapshots: i.mover, Limiter: i.limiter, Versions: i.mover,
		Router: i.config.Route, Fleet: i.fleet, Client: i.service, Budget: budget, Journal: calls{i.journal}, Recorder: i.recorder,
		Now: i.now, Random: rand.Uint64,
	})
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

// share computes once a second which servers to poll and the shares of the
// limits, samples the counters and drops what has expired, until ctx ends.
func (i *Instance) share(ctx context.Context) error {
	t := time.NewTicker(sharePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			i.countLive()
			i.small.Store(i.servers() <= relayLimit)
			i.assign()
			i.limiter.share(i.mover.Snapshot(), i.now())
			i.metrics.Sample()
			i.poison.Expire(i.now())
		}
	}
}
