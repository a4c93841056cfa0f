package exchange

import (
	"context"
	"crypto/tls"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

var (
	errs = errorx.NewNamespace("peer")
	// Failed is the type of the errors of calls to peers.
	Failed = errs.NewType("failed")
	// Unknown is the type of the errors for IDs that are no member.
	Unknown = errs.NewType("unknown-member")
)

const (
	// remotePeriod is the time between two exchanges with a member of another
	// failure domain; membership gives the one for the own failure domain.
	remotePeriod = 2 * time.Second
	// probeDelay is how much longer a suspect waits for an exchange.
	probeDelay = time.Second
	// linksPeriod is how long the links are used before they are computed
	// again; in a large fleet that takes as long as an exchange.
	linksPeriod = 500 * time.Millisecond
	// handicap is how much longer one side of a link waits. One exchange
	// carries both directions, so that the side that waits rarely has to call.
	handicap = 500 * time.Millisecond
	// tick is the resolution of the schedule.
	tick = 100 * time.Millisecond
	// urgentGap is the time between two urgent rounds. A wave of crashes then
	// shares rounds instead of causing one each.
	urgentGap = 50 * time.Millisecond
	// callDeadline limits an exchange. It is below the period, so that calls to
	// a silent member do not pile up.
	callDeadline = 900 * time.Millisecond
	// maxCalls limits the exchanges in progress. The full mesh of the largest
	// failure domain at the target scale has 51 links.
	maxCalls = 32
	// maxStreams limits the calls that one peer has in progress here.
	maxStreams = 256
)

// Config configures a Node. Members is required.
type Config struct {
	Members *membership.Table
	Sources []Source
	Sinks   []Sink
	// Services are the other procedures that the node serves.
	Services Services
	// Revision returns the revision of the instance's catalogue, and Watching
	// whether it holds the store's watch. Both may be nil.
	Revision func() int64
	Watching func() bool
	// Heard is told of each digest's sender, its catalogue revision and whether
	// it holds the watch. It must not block. It may be nil.
	Heard func(from membership.Member, revision int64, watching bool)
	// TLS authenticates the connections to peers in both directions; without
	// it they are neither authenticated nor encrypted.
	TLS *tls.Config
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Ticks drives the schedule; default every 100 ms.
	Ticks      <-chan time.Time
	Registerer prometheus.Registerer
	Logger     *zap.Logger
}

// Node exchanges digests with the peers of an instance.
type Node struct {
	config  Config
	self    membership.Member
	sources []Source
	metrics *metrics
	server  *server
	urgent  chan struct{}
	calls   chan struct{}

	// links and probes are the members to exchange with until linksDue; Run
	// alone uses them.
	links, probes []string
	linksDue      time.Time

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
	wg     sync.WaitGroup
}

// New returns a node. Register it with a server and start Run.
func New(c Config) (*Node, error) {
	if c.Members == nil {
		return nil, errorx.IllegalArgument.New("exchange: Members is required")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	m, err := newMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	n := &Node{
		config:  c,
		self:    c.Members.Self(),
		sources: append([]Source{members{c.Members}}, c.Sources...),
		metrics: m,
		urgent:  make(chan struct{}, 1),
		calls:   make(chan struct{}, maxCalls),
		peers:   make(map[string]*peer),
	}
	n.server = newServer(n.serve, c.Services, m)
	return n, nil
}

// ServerOptions are the limits that a gRPC server needs for Register.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
	}
}

// Register adds the Peer service to s.
func (n *Node) Register(s grpc.ServiceRegistrar) { peerpb.RegisterPeerServer(s, n.server) }

// Notify makes the node exchange with all its links at once. It does not block.
func (n *Node) Notify() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// Leave marks the instance as leaving and tells its links at once.
func (n *Node) Leave() {
	n.config.Members.Leave()
	n.Notify()
}

// Run exchanges until ctx ends, then waits for the calls in progress and closes
// the connections.
func (n *Node) Run(ctx context.Context) error {
	ticks := n.config.Ticks
	if ticks == nil {
		t := time.NewTicker(tick)
		defer t.Stop()
		ticks = t.C
	}
	defer n.shut()
	var last time.Time // of the last urgent round
	waiting := false   // an urgent round waits for a tick
	for round := uint64(0); ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-n.urgent:
			waiting = true
		}
		now := n.config.Now()
		urgent := waiting && now.Sub(last) >= urgentGap
		if urgent {
			waiting, last = false, now
		}
		n.schedule(ctx, urgent, round)
	}
}

func (n *Node) shut() {
	n.wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, p := range n.peers {
		p.close()
	}
	clear(n.peers)
}

// schedule starts the exchanges that are due, or all if urgent.
func (n *Node) schedule(ctx context.Context, urgent bool, round uint64) {
	now := n.config.Now()
	if !now.Before(n.linksDue) {
		n.links, n.probes = n.config.Members.Links(now), n.config.Members.Probes(now, round)
		n.linksDue = now.Add(linksPeriod)
		for _, id := range n.config.Members.Expire(now) {
			n.forget(id)
		}
	}
	for _, id := range n.links {
		n.start(ctx, id, urgent, 0)
	}
	for _, id := range n.probes {
		if !slices.Contains(n.links, id) {
			n.start(ctx, id, false, probeDelay)
		}
	}
}

// start exchanges with a member in the background if its period, lengthened by
// extra, has passed, or at once if urgent.
func (n *Node) start(ctx context.Context, id string, urgent bool, extra time.Duration) {
	m, ok := n.config.Members.Member(id)
	if !ok || m.PeerAddress == "" {
		return
	}
	p := n.peer(id)
	now := n.config.Now()
	if !urgent && !p.due(now, n.period(m)+extra) {
		return
	}
	if !p.begin(now, urgent) {
		return
	}
	n.wg.Go(func() {
		for again := true; again && ctx.Err() == nil; {
			select {
			case n.calls <- struct{}{}:
			case <-ctx.Done():
				p.end()
				return
			}
			n.exchange(ctx, id, p)
			<-n.calls
			if again = p.end(); again {
				again = p.begin(n.config.Now(), false)
			}
		}
	})
}

// period returns the time between two exchanges with m that this side starts.
func (n *Node) period(m membership.Member) time.Duration {
	period := remotePeriod
	if m.FailureDomain == n.self.FailureDomain {
		period = n.config.Members.Period()
	}
	// Both sides agree on who waits, and the choice spreads evenly.
	low, high := min(n.self.ID, m.ID), max(n.self.ID, m.ID)
	if (xxhash.Sum64String(low+"\x00"+high)&1 == 0) == (n.self.ID == low) {
		period += handicap
	}
	return period
}

// exchange performs one exchange with a member.
func (n *Node) exchange(ctx context.Context, id string, p *peer) {
	m, ok := n.config.Members.Member(id)
	if !ok {
		return
	}
	c, err := n.connect(p, m.PeerAddress)
	if err != nil {
		n.config.Members.Missed(id, n.config.Now())
		return
	}
	p.mu.Lock()
	d, versions := n.digest(m, p)
	base := p.incarnation
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	reply, err := invoke[*peerpb.Digest](ctx, c.exchange, d)
	if err != nil || reply.Sender.GetId() != id {
		n.config.Members.Missed(id, n.config.Now())
		return
	}
	p.answered(base, versions, reply)
	n.merge(memberFromWire(reply.Sender), reply)
}

// serve answers a peer's exchange.
func (n *Node) serve(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
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
	p.restarted(from.Incarnation)
	if d.Acknowledged != 0 && d.Acknowledged == p.sequence {
		p.confirm(p.replied)
	}
	p.last = n.config.Now()
	reply, versions := n.digest(from, p)
	p.sequence++
	p.replied = versions
	reply.Sequence = p.sequence
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

func (n *Node) forget(id string) {
	n.mu.Lock()
	p, ok := n.peers[id]
	delete(n.peers, id)
	n.mu.Unlock()
	if ok {
		p.close()
	}
}
