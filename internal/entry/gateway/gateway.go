package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/coldstart"
	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/retry"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/peer/allowance"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	"wasabiworks.example/wasabiworks/internal/peer/duty"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
	"wasabiworks.example/wasabiworks/internal/peer/serverlimit"
	"wasabiworks.example/wasabiworks/internal/peer/usage"
	"wasabiworks.example/wasabiworks/internal/platform/boottime"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// watchWait is how long a watch of the store waits for a change. If the store no
	// longer replies to the instance that watches for the others, they learn of it
	// within this time, the store's timeout and maxRelayAge, so that another one has
	// the changes well before they must be in effect.
	watchWait = 500 * time.Millisecond
	// maxRelayAge is how old a copy of the store may be that an instance takes from a
	// peer. A copy is confirmed as of the beginning of a watch, so that it is up to
	// two waits old although all is well.
	maxRelayAge = 2*watchWait + 700*time.Millisecond
	// revocationMargin is how much earlier than Config.RevokeWithin API keys are
	// rejected if the store does not confirm them. It covers the time that a
	// request takes from the check of its key to the server, and the fraction of a
	// second during which a watch of a degraded store may miss changes although it
	// succeeds.
	revocationMargin = 700 * time.Millisecond
	// balancerDelay is how long the load balancer may still send connections to an
	// instance that reports that it is not ready: two probes, one a second.
	balancerDelay = 2500 * time.Millisecond
	// answerMargin is how long before the end of the drain notice the requests in
	// progress are answered.
	answerMargin = 250 * time.Millisecond
	// registrationGrace is how long servers whose entries lapsed while the store
	// was unavailable have to register again. It is less than the two seconds
	// after which a server that has left must receive no requests.
	registrationGrace = 1700 * time.Millisecond
	// lapseWindow is how long after a failed call to the store a removed entry is
	// assumed to have lapsed: the first responses after the failure include every
	// entry that lapsed.
	lapseWindow = 800 * time.Millisecond
	// expiryCheckPeriod is the time between two checks for servers that did not
	// register again.
	expiryCheckPeriod = 200 * time.Millisecond
	// defaultUsageWindow is the length of a usage window if usage is counted but
	// not reported.
	defaultUsageWindow = 5 * time.Second
	// hubsPerDomain is the number of instances of a large failure domain with which
	// the others exchange. The second one stands in while the first is silent.
	hubsPerDomain = 2
	// remotePeriod is the time between two exchanges with an instance of another
	// failure domain in a fleet of few failure domains.
	remotePeriod = 500 * time.Millisecond
	// dutyKey is the store key that names the holder of the duty.
	dutyKey = "wasabiworks/duty"
	// usagePrefix is the prefix of the store keys at which the sums of usage windows
	// are kept before they are reported.
	usagePrefix = "wasabiworks/usage/"
	// usageEraKey is the store key of the first usage window that may be summed up in the
	// era of the store.
	usageEraKey = "wasabiworks/usage-era"
)

// Format describes the platform's data: the keys and encodings in the store, the
// HTTP headers and the path of the readiness probe.
type Format struct {
	// ConfigKey is the store key of the table, and ServersPrefix the prefix of the
	// keys of the servers' entries.
	ConfigKey, ServersPrefix string
	DecodeTable              func(data []byte) (*routes.Table, error)
	DecodeServer             func(key string, data []byte) (pool.Registration, error)
	// EvacuationPrefix is the prefix of the keys by which the operator evacuates
	// failure domains. DecodeEvacuation returns the domain of such a key, or "" if the
	// key names none; an error with a domain means that the value is invalid.
	EvacuationPrefix string
	DecodeEvacuation func(key string, value []byte) (domain string, err error)
	// MovesPrefix is the prefix of the keys at which the operator orders moves.
	MovesPrefix      string
	DecodeMove       func(key string, data []byte) (MoveOrder, error)
	EncodeMoveStatus func(service, to string, state MoveState) (key string, value []byte, err error)
	Headers          forward.Headers
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// Config configures an Instance. Run closes the listeners.
type Config struct {
	ID, FailureDomain string
	// Capacity is the processor time that the instance may use, in thousandths of
	// a core, or 0 if it is unknown. Instances with more of it do the fleet's work.
	Capacity                         int64
	Clients, Ready, Peer, Operations net.Listener
	Store                            store.Store
	Cloud                            Cloud
	Format                           Format
	// RevokeWithin is the longest time for which an API key may still be used after
	// its removal.
	RevokeWithin time.Duration
	// UsageWindow is the length of a usage window; if it is 0, usage is not
	// reported.
	UsageWindow time.Duration
	// Scale enables ordering servers from Cloud while this instance holds the duty;
	// it has no effect if UsageWindow is 0.
	Scale bool
	Retry RetryLimit
	// AllowanceSlack is how much a workspace may use beyond its allowance, over all
	// instances, in units.
	AllowanceSlack float64
	// MaxResponseBytes is the maximum size of a server's response that is not a
	// stream; 0 selects a default.
	MaxResponseBytes int64
	// MemoryBytes is the memory that the instance may use, in bytes, or 0 if it is
	// unknown.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the instance may open, or 0 if it is
	// unknown, and Connections bounds the connections of clients besides.
	Descriptors int
	Connections connlimit.Limits
	// DrainTimeout bounds the time that a planned shutdown gives to requests in
	// progress.
	DrainTimeout time.Duration
	Log          *zap.Logger
	// Registry receives the instance's metrics; the default is a new registry.
	Registry *prometheus.Registry
}

// Instance is an instance that forwards plain HTTP requests.
type Instance struct {
	config   Config
	now      func() time.Time
	registry *prometheus.Registry
	pool     *pool.Pool
	follower *follow.Follower
	handler  *forward.Handler
	draining atomic.Bool

	// applyMu is held while changes are applied and while a configuration is put in force.
	applyMu sync.Mutex
	// configuration is the version in force, or nil. startConfiguration is the newest one that
	// was seen before others were asked for theirs; applyMu guards it and othersAsked.
	configuration      atomic.Pointer[configurationVersion]
	startConfiguration *configurationVersion
	othersAsked        bool
	// newerConfiguration receives a newer version that a peer has.
	newerConfiguration chan peerVersion

	// connections bounds what the connections of each listener hold.
	connections connectionGroups
	// refusing is true once the listener for clients is closed in a planned stop, and
	// ending ends shortly before the connections are.
	refusing   atomic.Bool
	ending     context.Context
	endClients context.CancelFunc
	relay      *relaySource
	// serverRevisions are the store revisions of the servers' entries, by server
	// ID. Only apply and the methods that it calls use them.
	serverRevisions map[string]int64
	// evacuationUpdate collects the changes of evacuations during apply, and
	// reportedEvacuations holds the revisions, by key, of the odd evacuation keys that
	// were logged. Only apply and the methods that it calls use them.
	evacuationUpdate    evacuation.Update
	reportedEvacuations map[string]int64
	// ownAddresses are the addresses at which the instance listens.
	ownAddresses map[netip.AddrPort]bool
	wasReady     atomic.Bool

	// node identifies this run of the instance as the writer of counters: the
	// instance ID, a slash and the incarnation.
	node    string
	members *membership.Table
	// registered are the entries of the instances, by ID; only apply and the
	// methods that it calls use them. registeredSnapshot is an immutable copy for
	// other goroutines, and nil before the first listing.
	registered         map[string]membership.Member
	registeredSnapshot atomic.Pointer[[]membership.Member]
	// registeredCount is the number of registered instances, and allowanceCount that
	// by which allowances are divided.
	registeredCount, allowanceCount recentMax
	// fleetSize is the stored number of instances, or 0, and restarted is set once an entry of
	// an earlier process of this instance was seen.
	fleetSize   atomic.Int64
	restarted   atomic.Bool
	incarnation int64
	// rosters are those of the last call of publishColdStart. Only apply and the methods
	// that it calls use them.
	rosters    *coldstart.Rosters
	exchange   *exchange.Node
	proxy      *proxy.Client
	allowances *allowance.Limiter
	claims     *claim.Client
	// trackers holds the IDs of the instances that track servers, by failure domain.
	trackers    atomic.Pointer[map[string][]string]
	crashes     crash.Reports
	crashChecks sync.WaitGroup // counts running checks of whether a server has crashed
	restores    sync.WaitGroup // counts running writes of items that the store has lost
	// counters are shared by all instances: the units that workspaces spent, and
	// the outcomes of requests at the old and the new version of each move.
	counters evidence.Table
	usage    *usage.Reporter
	burn     *burn.Metrics
	// duty elects one of all instances as the holder of the duty, which reports
	// usage, orders servers and records moves.
	duty           *duty.Holder
	mover          *mover
	plannedServers sync.Map // service name to the planned number of servers, an int
	// invalidPlans maps a service name to the store revision of its planned number,
	// an int64, if that number is invalid.
	invalidPlans sync.Map
}

// New returns an Instance, which Run starts.
func New(c Config) (*Instance, error) {
	c.Log = c.Log.With(zap.String("instance", c.ID))
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	var err error
	if c.Store, err = store.WithMetrics(c.Store, c.Registry); err != nil {
		return nil, err
	}
	if c.Cloud, err = newMeasuredCloud(c.Cloud, c.Registry); err != nil {
		return nil, err
	}
	f := &Instance{
		config: c, now: boottime.Now, registry: c.Registry, pool: pool.New(), newerConfiguration: make(chan peerVersion, 1),
		serverRevisions: make(map[string]int64), reportedEvacuations: make(map[string]int64), registered: make(map[string]membership.Member),
		ownAddresses: listenAddresses(c.Clients, c.Ready, c.Peer, c.Operations),
	}
	f.ending, f.endClients = context.WithCancel(context.Background())
	f.relay, err = newRelaySource(relaySource{
		instance: c.ID, now: f.now,
		watch: func(ctx context.Context, peer string, r *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
			return f.exchange.Watch(ctx, peer, r)
		},
		list: func(ctx context.Context, peer string, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
			return f.exchange.List(ctx, peer, r)
		},
	}, f.registry)
	if err != nil {
		return nil, err
	}
	f.follower = follow.New(follow.Config{Store: c.Store, Wait: watchWait, Apply: f.apply, Relay: f.relay.get, RelayList: f.relay.getPage, MaxRelayAge: maxRelayAge, Now: f.now, Log: c.Log})
	f.relay.follower = f.follower
	if err := f.initCluster(); err != nil {
		return nil, err
	}
	if err := errors.Join(f.registerEvacuationMetrics(), f.registerColdMetrics(), f.registerCopyMetrics(), f.registerPacingMetrics()); err != nil {
		return nil, err
	}
	if f.burn, err = burn.New(burn.Config{Registry: f.registry}); err != nil {
		return nil, err
	}
	if f.connections, err = f.newConnectionGroups(); err != nil {
		return nil, err
	}
	budgets, err := newRetryBudgets(retry.SharedConfig{
		Ratio: c.Retry.Ratio, Slack: c.Retry.Slack, Window: c.Retry.Window, Instances: f.instanceCount, Started: f.now(), Fresh: f.isFresh, Now: f.now,
	}, f.registry)
	if err != nil {
		return nil, err
	}
	if f.proxy, err = f.newProxyClient(); err != nil {
		return nil, err
	}
	f.handler, err = forward.New(forward.Config{
		Headers: c.Format.Headers, FailureDomain: c.FailureDomain, View: f.view, Pool: f.pool,
		Allowances: f.allowances, Usage: f.usage, Poison: poisonFilter{f}, Versions: f.mover, Claims: f.claims, Peers: f.proxy,
		Budget:           budgets,
		MaxResponseBytes: c.MaxResponseBytes, Requests: f.connections.requests, MemoryBytes: 2 * f.connections.shares.ResponseBytes, OnLimitChange: f.exchange.Notify, OnRequestEnd: f.countResult, Now: f.now, Random: rand.Uint64, Registerer: f.registry, Log: c.Log, Draining: f.draining.Load,
		Refusing: f.refusing.Load, Ending: f.ending,
	})
	return f, err
}

// initCluster sets up the components that work with other instances: membership,
// allowances, crash records, moves, the duty, usage, and the exchange of digests
// of the shared counters and crash records.
func (f *Instance) initCluster() (err error) {
	c := &f.config
	f.incarnation = time.Now().UnixNano()
	f.node = fmt.Sprintf("%s/%d", c.ID, f.incarnation)
	f.members = membership.NewTable(membership.Config{Hubs: hubsPerDomain, Self: membership.Member{
		ID: c.ID, Incarnation: f.incarnation, FailureDomain: c.FailureDomain, PeerAddress: c.Peer.Addr().String(),
		OperationsAddress: c.Operations.Addr().String(), Capacity: c.Capacity,
	}})
	f.relay.members = f.members
	if f.allowances, err = f.newAllowances(); err != nil {
		return err
	}
	if f.claims, err = f.newClaims(); err != nil {
		return err
	}
	f.crashes = crash.Reports{Set: new(poison.CauseSet), Now: time.Now}
	if err := f.registerPartMetrics(); err != nil {
		return err
	}
	window := c.UsageWindow
	if window == 0 {
		window = defaultUsageWindow
	}
	f.mover = newMover(f)
	f.duty = duty.New(duty.Config{Store: c.Store, Key: dutyKey, Instance: c.ID, Rank: f.dutyRank, Now: f.now, Log: c.Log})
	f.usage = usage.New(usage.Config{
		Instance: c.ID, Node: f.node, Window: window, Duty: f.duty, Store: c.Store, Prefix: usagePrefix, EraKey: usageEraKey,
		Report: c.Cloud.ReportUsage,
		Send: func(ctx context.Context, id string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
			return f.exchange.Usage(ctx, id, r)
		},
		Live: func() []string { return f.members.Live("", time.Now()) }, Registered: f.registeredIDs, Log: c.Log,
	})
	f.counters.SetDomain(c.FailureDomain)
	counters := exchange.Evidence{Table: &f.counters, Domain: c.FailureDomain, Self: c.ID, Hub: f.members.IsHub}
	limits := serverlimit.Reports{Limits: f.pool.Limits(), Now: time.Now}
	f.exchange, err = exchange.New(exchange.Config{
		Members: f.members, MinRemotePeriod: remotePeriod,
		Sources:    []exchange.Source{counters, f.crashes, limits},
		Sinks:      []exchange.Sink{counters, f.crashes, limits},
		Revision:   f.configurationRevision,
		OnDigest:   f.noteConfiguration,
		Services:   exchange.Services{Pull: f.servePull, Usage: f.usage.Serve, Watch: f.relay.serveWatch, List: f.relay.serveList, Spend: f.serveSpend, Claim: f.claims.ServeClaim, Progress: f.claims.ServeProgress, Send: f.serveSend},
		Registerer: f.registry,
		Logger:     c.Log,
	})
	return err
}

// view returns the current table, and whether it was confirmed recently enough
// to trust its API keys.
func (f *Instance) view() forward.View {
	confirmed := f.follower.Confirmed()
	return forward.View{Table: f.currentTable(), Confirmed: confirmed, Fresh: f.now().Sub(confirmed) < f.config.RevokeWithin-revocationMargin}
}

// dutyRank returns 0 for the instance that watches the store for the fleet, 1 for
// other instances that relay for their failure domain, and 2 for the rest and
// while the other instances are not known yet.
func (f *Instance) dutyRank() int {
	registered := f.registeredSnapshot.Load()
	switch {
	case registered == nil || !slices.ContainsFunc(*registered, func(m membership.Member) bool { return m.ID == f.config.ID }):
		return 2
	case f.members.Upstream(time.Now(), func(string) bool { return false }) == "":
		return 0
	case f.members.IsHub():
		return 1
	}
	return 2
}
