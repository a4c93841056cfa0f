package exchange

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/kit/endpoint"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

var (
	errs = errorx.NewNamespace("peer")
	// CallFailed is the type of errors from calls to peers.
	CallFailed = errs.NewType("failed")
	// UnknownMember is the type of errors for IDs that are not members, and for
	// members without a peer address.
	UnknownMember = errs.NewType("unknown-member")
)

const (
	// maxRemotePeriod is the longest time between two exchanges with a member of
	// another failure domain, and remotePeriodPerLink the time that each link to
	// another failure domain adds above Config.MinRemotePeriod; membership defines
	// the period within a failure domain.
	maxRemotePeriod     = 2 * time.Second
	remotePeriodPerLink = 50 * time.Millisecond
	// probeDelay is added to the exchange period of a suspected member.
	probeDelay = time.Second
	// linksRefreshPeriod is how long the computed links are reused. In a large
	// fleet, computing them takes as long as an exchange.
	linksRefreshPeriod = 500 * time.Millisecond
	// passiveDelay is added to the exchange period of one side of each link. An
	// exchange carries both directions, so the delayed side rarely has to call.
	passiveDelay = 500 * time.Millisecond
	// tickPeriod is the resolution of the schedule.
	tickPeriod = 100 * time.Millisecond
	// minUrgentPeriod is the minimum time between two urgent rounds, to which each
	// link adds urgentPeriodPerLink. Many crashes in a short time then share rounds
	// instead of causing one each, and an instance makes at most 250 urgent
	// exchanges a second, however many links it has.
	minUrgentPeriod     = 50 * time.Millisecond
	urgentPeriodPerLink = 4 * time.Millisecond
	// exchangeTimeout limits an exchange. It is shorter than the shortest exchange
	// period, membership.HeartbeatPeriod, so that calls to an unresponsive member
	// do not accumulate.
	exchangeTimeout = 900 * time.Millisecond
	// maxConcurrentExchanges limits the exchanges in progress that this instance
	// has started. In the full mesh of the largest failure domain at the target
	// scale, an instance has 51 links, and because of passiveDelay it normally
	// starts the exchanges on about half of them.
	maxConcurrentExchanges = 32
	// maxStreamsPerPeer limits the concurrent calls from one peer.
	maxStreamsPerPeer = 256
	// keepalivePeriod is how long the connection of a peer may be silent before it is probed, and
	// keepaliveTimeout how long the reply may take. The descriptors of connections whose
	// other ends are gone would add up otherwise.
	keepalivePeriod, keepaliveTimeout = 10 * time.Second, 5 * time.Second
	// maxHeaderBytes limits the headers of a call, and handshakeTimeout the time until a
	// connection from a peer is set up.
	maxHeaderBytes, handshakeTimeout = 16 << 10, 5 * time.Second
)

// Config configures a Node. Members is required.
type Config struct {
	Members *membership.Table
	Sources []Source
	Sinks   []Sink
	// Services are the procedures of the Peer service other than Exchange.
	Services Services
	// Revision returns the revision of the instance's catalogue, and Watching
	// reports whether the instance holds the watch on the catalogue in the store.
	// Both may be nil.
	Revision func() int64
	Watching func() bool
	// OnDigest is called for each received digest with its sender, the sender's
	// catalogue revision and whether the sender holds the watch. It must not
	// block and may be nil.
	OnDigest func(from membership.Member, revision int64, watching bool)
	// MinRemotePeriod is the time between two exchanges with a member of another
	// failure domain while there are few links to other failure domains; default
	// 2 s.
	MinRemotePeriod time.Duration
	// TLS authenticates the connections to peers in both directions; if it is
	// nil, they are neither authenticated nor encrypted.
	TLS *tls.Config
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Ticks triggers the schedule; default every 100 ms.
	Ticks      <-chan time.Time
	Registerer prometheus.Registerer
	Logger     *zap.Logger
}

// Node exchanges digests with the peers of an instance.
type Node struct {
	config        Config
	self          membership.Member
	sources       []Source
	metrics       *metrics
	server        *server
	urgent        chan struct{}
	exchangeSlots chan struct{}

	// links and probes are the members to exchange with until nextLinksRefresh.
	// Only Run uses them.
	links, probes    []string
	nextLinksRefresh time.Time
	remotePeriod     time.Duration

	// background ends when the node is shut down.
	background     context.Context
	stopBackground context.CancelFunc

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
	wg     sync.WaitGroup
}

// New returns a node. The caller registers it with a gRPC server and calls Run.
func New(c Config) (*Node, error) {
	if c.Members == nil {
		return nil, errorx.IllegalArgument.New("exchange: Members is required")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MinRemotePeriod == 0 {
		c.MinRemotePeriod = maxRemotePeriod
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	m, err := newMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:        c,
		self:          c.Members.Self(),
		sources:       append([]Source{membershipSource{c.Members}}, c.Sources...),
		metrics:       m,
		urgent:        make(chan struct{}, 1),
		exchangeSlots: make(chan struct{}, maxConcurrentExchanges),
		peers:         make(map[string]*peer),
	}
	n.background, n.stopBackground = context.WithCancel(context.Background())
	n.server = newServer(n.serveExchange, c.Services, m)
	return n, nil
}

// ServerOptions returns the limits that a gRPC server needs for Register.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerPeer),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepalivePeriod, Timeout: keepaliveTimeout}),
	}
}

// Register adds the Peer service to s, and the health service, by which others tell whether
// this instance replies.
func (n *Node) Register(s grpc.ServiceRegistrar) {
	peerpb.RegisterPeerServer(s, n.server)
	healthpb.RegisterHealthServer(s, health.NewServer())
}

// Notify starts an urgent exchange with all links. It does not block.
func (n *Node) Notify() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// Leave marks the instance as leaving and notifies its links immediately.
func (n *Node) Leave() {
	n.config.Members.Leave()
	n.Notify()
}

// Run performs exchanges until ctx ends, then waits for the calls in progress
// and closes the connections.
func (n *Node) Run(ctx context.Context) error {
	ticks := n.config.Ticks
	if ticks == nil {
		t := time.NewTicker(tickPeriod)
		defer t.Stop()
		ticks = t.C
	}
	defer n.shutdown()
	var lastUrgent time.Time // time of the last urgent round
	urgentPending := false   // an urgent round is requested but not started
	for round := uint64(0); ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-n.urgent:
			urgentPending = true
		}
		now := n.config.Now()
		urgent := urgentPending && now.Sub(lastUrgent) >= max(minUrgentPeriod, urgentPeriodPerLink*time.Duration(len(n.links)))
		if urgent {
			urgentPending, lastUrgent = false, now
		}
		n.schedule(ctx, urgent, round)
	}
}

func (n *Node) shutdown() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.stopBackground()
	n.wg.Wait()
	n.mu.Lock()
	peers := n.peers
	n.peers = nil // no peer is added to a closed node
	n.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// schedule starts the exchanges that are due. If urgent, it starts exchanges with
// all links, whether or not they are due.
func (n *Node) schedule(ctx context.Context, urgent bool, round uint64) {
	now := n.config.Now()
	if !now.Before(n.nextLinksRefresh) {
		n.links, n.probes = n.config.Members.ExchangePeers(now), n.config.Members.Probes(now, round)
		n.nextLinksRefresh = now.Add(linksRefreshPeriod)
		n.remotePeriod = n.remotePeriodFor(n.links)
		for _, id := range n.config.Members.Expire(now) {
			n.removePeer(id)
		}
	}
	for _, id := range n.links {
		n.startExchange(ctx, id, urgent, 0)
	}
	for _, id := range n.probes {
		if !slices.Contains(n.links, id) {
			n.startExchange(ctx, id, false, probeDelay)
		}
	}
}

// startExchange exchanges with a member in the background if its period plus
// extraDelay has passed, or immediately if urgent.
func (n *Node) startExchange(ctx context.Context, id string, urgent bool, extraDelay time.Duration) {
	m, ok := n.config.Members.Member(id)
	if !ok || m.PeerAddress == "" {
		return
	}
	p := n.peer(id)
	now := n.config.Now()
	if !urgent && !p.due(now, n.period(m)+extraDelay) {
		return
	}
	if !p.beginCall(urgent) {
		return
	}
	n.wg.Go(func() {
		for callAgain := true; callAgain && ctx.Err() == nil; urgent = true {
			select {
			case n.exchangeSlots <- struct{}{}:
			case <-ctx.Done():
				p.endCall()
				return
			}
			n.exchange(ctx, id, p, urgent)
			<-n.exchangeSlots
			if callAgain = p.endCall(); callAgain {
				callAgain = p.beginCall(false)
			}
		}
	})
}

// remotePeriodFor returns the time between two exchanges with a member of another
// failure domain. It grows with their number, so that a fleet of many small failure
// domains does not make each instance exchange all the time.
func (n *Node) remotePeriodFor(links []string) time.Duration {
	remote := 0
	for _, id := range links {
		if m, ok := n.config.Members.Member(id); ok && m.FailureDomain != n.self.FailureDomain {
			remote++
		}
	}
	return min(maxRemotePeriod, max(n.config.MinRemotePeriod, time.Duration(remote)*remotePeriodPerLink))
}

// period returns the time since the last exchange with m after which this side
// starts another.
func (n *Node) period(m membership.Member) time.Duration {
	period := n.remotePeriod
	if m.FailureDomain == n.self.FailureDomain {
		period = n.config.Members.HeartbeatPeriod()
	}
	// Both sides compute the same passive side, and hashing makes each ID passive
	// on about half of its links.
	low, high := min(n.self.ID, m.ID), max(n.self.ID, m.ID)
	if (xxhash.Sum64String(low+"\x00"+high)&1 == 0) == (n.self.ID == low) {
		period += passiveDelay
	}
	return period
}

// exchange performs one exchange with a member, unless it is urgent and the member
// has everything already.
func (n *Node) exchange(ctx context.Context, id string, p *peer, urgent bool) {
	m, ok := n.config.Members.Member(id)
	if !ok {
		return
	}
	p.mu.Lock()
	d, versions, news := n.buildDigest(m, p)
	if urgent && !news {
		p.mu.Unlock()
		return
	}
	p.lastExchange = n.config.Now()
	knownIncarnation := p.incarnation
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := callPeer[*peerpb.Digest](ctx, n, p, m.PeerAddress, func(c clients) endpoint.Endpoint { return c.exchange }, d)
	if err != nil || reply.Sender.GetId() != id {
		n.config.Members.Missed(id, n.config.Now())
		return
	}
	p.recordReply(knownIncarnation, versions, reply, stateOf(d))
	n.merge(memberFromWire(reply.Sender), reply)
}

// serveExchange handles an exchange that a peer started.
func (n *Node) serveExchange(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	from := memberFromWire(d.Sender)
	if from.ID == "" || from.ID == n.self.ID || from.Incarnation == 0 {
		return nil, status.Error(codes.InvalidArgument, "digest has no sender, or the receiver's own ID")
	}
	n.merge(from, d)
	if known, ok := n.config.Members.Member(from.ID); !ok || known.Incarnation > from.Incarnation {
		return nil, status.Error(codes.FailedPrecondition, "sender's incarnation is over")
	}
	p := n.peer(from.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetIfRestarted(from.Incarnation)
	if d.Acknowledged != 0 && d.Acknowledged == p.replySequence {
		p.confirm(p.repliedVersions)
	}
	p.lastExchange = n.config.Now()
	reply, versions, _ := n.buildDigest(from, p)
	p.replySequence++
	p.repliedVersions = versions
	reply.Sequence = p.replySequence
	return reply, nil
}

func (n *Node) peer(id string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[id]
	if !ok {
		p = &peer{closed: n.closed}
		if !n.closed {
			n.peers[id] = p
		}
	}
	return p
}

func (n *Node) removePeer(id string) {
	n.mu.Lock()
	p, ok := n.peers[id]
	delete(n.peers, id)
	n.mu.Unlock()
	if ok {
		p.close()
	}
}
