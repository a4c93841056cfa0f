package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	moveID = "entry-00-2026-12-0123456789ab"
	// usesPerNode is the number of pairs of workspace and entry that a node
	// has demand for. At 7 requests/s a node counts each pair for 6 s after
	// its last request.
	usesPerNode = 10
	// countersPerNode is the number of evidence counters of a node in a move:
	// two versions at three load levels on one route.
	countersPerNode = 6
	// relayedWorkers is the size of the fleet up to which load reports travel
	// to other failure domains; package instance has the same bound.
	relayedWorkers = 200
)

func peerID(i int) string { return fmt.Sprintf("entry-peer-%03d", i) }

// peerDomain leaves one place in domain 0 to the measured process.
func peerDomain(i int) int { return (i + 1) % domains }

// peers are all light peers behind one gRPC server.
type peers struct {
	peerpb.UnimplementedPeerServer
	counters *counters
	server   *grpc.Server
	serving  errgroup.Group
	all      []*lightPeer
	byAddr   map[string]*lightPeer
	holder   *lightPeer // of domain 0, nil if it is the measured process

	bare      bool
	node      atomic.Pointer[grpc.ClientConn] // to the measured process
	pulling   sync.WaitGroup
	moving    atomic.Bool
	catalogue atomic.Pointer[peerpb.Snapshot]
}

// Load and demand that do not change are sent again with every third exchange,
// which is about the 4 s of an instance.
const (
	reportBeats = 3
	demandBeats = 3
)

// lightPeer is what one peer knows first hand.
type lightPeer struct {
	id, address string
	domain      int
	incarnation int64
	beat        atomic.Uint64
	revision    atomic.Int64 // heard from the measured process
	carried     []string     // nodes whose demand and evidence it sends
	workers     []string     // workers whose load reports it sends
}

// newPeers starts the light peers of a shape.
func newPeers(shape Shape, self string, c *counters) (*peers, error) {
	ps := &peers{counters: c, bare: shape.Bare, byAddr: make(map[string]*lightPeer), server: grpc.NewServer(grpc.MaxRecvMsgSize(4 << 20))}
	ps.catalogue.Store(&peerpb.Snapshot{})
	peerpb.RegisterPeerServer(ps.server, ps)
	members := [domains][]string{0: {self}}
	for i := range shape.Peers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ps, err
		}
		p := &lightPeer{id: peerID(i), address: l.Addr().String(), domain: peerDomain(i), incarnation: time.Now().UnixNano()}
		ps.all = append(ps.all, p)
		ps.byAddr[p.address] = p
		members[p.domain] = append(members[p.domain], p.id)
		ps.serving.Go(func() error { return ps.server.Serve(listener{l, c, "peers"}) })
	}
	ps.assign(shape, members)
	if h := membership.Owner(xxhash.Sum64String("watch"), members[0]); h != self {
		for _, p := range ps.all {
			if p.id == h {
				ps.holder = p
			}
		}
	}
	return ps, nil
}

// assign gives each peer what it sends: one of the own failure domain what it
// knows first hand, one of another the sums over its failure domain and, in a
// small fleet, the load reports from there.
func (ps *peers) assign(shape Shape, members [domains][]string) {
	workers := make(map[string][]string)
	for i := range shape.Workers {
		owner := membership.Owner(xxhash.Sum64String(workerID(i)), members[i%domains])
		workers[owner] = append(workers[owner], workerID(i))
	}
	for _, p := range ps.all {
		p.carried = []string{p.id}
		if p.domain != 0 {
			p.carried = []string{evidence.DomainNode(domainName(p.domain))}
			if shape.Workers <= relayedWorkers {
				for _, id := range members[p.domain] {
					p.workers = append(p.workers, workers[id]...)
				}
			}
			continue
		}
		p.workers = workers[p.id]
	}
}

func (p *lightPeer) listed() instances.Instance {
	return instances.Instance{
		ID: p.id, Role: instances.RoleEntry, Region: regionName(p.domain), FailureDomain: domainName(p.domain),
		Address: p.address, PeerAddress: p.address, OperationsAddress: p.address, State: instances.StateLive, Class: "small",
	}
}

// Exchange implements peerpb.PeerServer.
func (ps *peers) Exchange(ctx context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	p, err := ps.of(ctx)
	if err != nil {
		return nil, err
	}
	ps.count(d)
	if ps.holder == nil && p.domain == 0 && p.revision.Swap(d.CatalogueRevision) < d.CatalogueRevision {
		ps.pulling.Go(ps.pull)
	}
	return ps.digest(p), nil
}

// Pull implements peerpb.PeerServer.
func (ps *peers) Pull(context.Context, *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	s := ps.catalogue.Load()
	ps.counters.add("pulls", 1)
	ps.counters.add("pulled", float64(proto.Size(s)))
	return s, nil
}

// of returns the peer that a call is for, which its local address tells.
func (ps *peers) of(ctx context.Context) (*lightPeer, error) {
	from, ok := peer.FromContext(ctx)
	if !ok || from.LocalAddr == nil {
		return nil, status.Error(codes.Internal, "call has no local address")
	}
	p, ok := ps.byAddr[from.LocalAddr.String()]
	if !ok {
		return nil, status.Error(codes.Internal, "no peer has the address")
	}
	return p, nil
}

// count counts the bytes of each part of a digest that the process sent.
func (ps *peers) count(d *peerpb.Digest) {
	ps.counters.add("exchanges", 1)
	for name, part := range map[string]*peerpb.Digest{
		"membership": {Sender: d.Sender, Members: d.Members, CatalogueRevision: d.CatalogueRevision, Sequence: d.Sequence, Acknowledged: d.Acknowledged, Watching: d.Watching},
		"evidence":   {Counters: d.Counters, Vetoes: d.Vetoes},
		"leaving":    {Leaving: d.Leaving, Crashes: d.Crashes},
		"loads":      {Loads: d.Loads},
		"demands":    {Demands: d.Demands},
	} {
		if n := proto.Size(part); n > 0 {
			ps.counters.add("digest."+name, float64(n))
		}
	}
	ps.counters.add("sent.members", float64(len(d.Members)))
	ps.counters.add("sent.loads", float64(len(d.Loads)))
	ps.counters.add("sent.demands", float64(len(d.Demands)))
	ps.counters.add("sent.counters", float64(len(d.Counters)))
}

// digest returns what a peer tells.
func (ps *peers) digest(p *lightPeer) *peerpb.Digest {
	now, beat := time.Now().UnixNano(), p.beat.Add(1)
	d := &peerpb.Digest{
		Sender: &peerpb.Member{
			Id: p.id, Incarnation: p.incarnation, FailureDomain: domainName(p.domain), PeerAddress: p.address,
			OperationsAddress: p.address, Beat: beat,
		},
		CatalogueRevision: ps.catalogue.Load().GetRevision(), Sequence: beat, Watching: p == ps.holder,
	}
	if ps.bare {
		return d
	}
	for _, w := range p.workers {
		if beat%reportBeats != 0 {
			break
		}
		d.Loads = append(d.Loads, &peerpb.Load{
			Backend: w, Running: 6, Queued: 1, Capacity: 16, Versions: []string{oldVersion, newVersion}, At: now, Incarnation: "1764837000000000000",
		})
	}
	for _, node := range p.carried {
		for i := range usesPerNode {
			if beat%demandBeats != 0 {
				break
			}
			d.Demands = append(d.Demands, &peerpb.Demand{
				Node: node, Entry: entryName(i), Workspace: workspaceName(i), RequestsPerSecond: 0.7, Concurrent: 7, At: now,
			})
		}
		if ps.moving.Load() {
			// One request a second and node: an entry with a seventh of the
			// traffic at the target scale.
			d.Counters = append(d.Counters, evidenceOf(node, uint64(now/int64(time.Second)))...)
		}
	}
	return d
}

// evidenceOf returns a node's counters after n requests, which fall to the
// counters in turn.
func evidenceOf(node string, n uint64) (cs []*peerpb.Counter) {
	name := node
	if _, isSum := evidence.DomainOf(node); !isSum {
		name += "/1764837000000000000"
	}
	for i := range uint64(countersPerNode) {
		version := oldVersion
		if i%2 == 1 {
			version = newVersion
		}
		cs = append(cs, &peerpb.Counter{
			Node: name, Move: moveID, Version: version, Route: "chat", Load: uint32(i / 2),
			Answered: (n + i) / countersPerNode,
		})
	}
	return cs
}

// connect opens the connection to the measured process.
func (ps *peers) connect(address string) error {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return conn{c, ps.counters, "served"}, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithContextDialer(dial), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(4<<20)))
	ps.node.Store(c)
	return err
}

// announce lets the holder of the watch tell the process of a new revision, as
// a real holder does at once.
func (ps *peers) announce(ctx context.Context) error {
	if ps.holder == nil {
		return nil
	}
	_, err := peerpb.NewPeerClient(ps.node.Load()).Exchange(ctx, ps.digest(ps.holder))
	return err
}

// pull pulls the catalogue from the process, as a peer of its failure domain
// does that hears of a new revision from it.
func (ps *peers) pull() {
	node := ps.node.Load()
	if node == nil {
		return // the first revisions are heard before the address is known
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	if _, err := peerpb.NewPeerClient(node).Pull(ctx, &peerpb.PullRequest{}); err == nil {
		ps.counters.add("pulls.served", 1)
	}
}

func (ps *peers) stop() error {
	ps.server.Stop()
	ps.pulling.Wait()
	_ = ps.serving.Wait() // Serve returns nil after Stop
	if node := ps.node.Load(); node != nil {
		return node.Close()
	}
	return nil
}

func workerID(i int) string { return fmt.Sprintf("worker-%04d", i) }

// newWorker returns a light worker. All share the address of the load report.
func newWorker(i int, address string) instances.Instance {
	return instances.Instance{
		ID: workerID(i), Role: instances.RoleBackend, Kind: instances.KindLanguage, Entry: entryName(i / domains % languageEntries),
		Region: regionName(i % domains), FailureDomain: domainName(i), Address: address, State: instances.StateLive,
		Class: "standard", Reclaimable: i%5 != 0, Price: 0.12,
	}
}

// report answers with the load report of a worker.
func report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"running":6,"queued":1,"capacity":16,"versions":[%q,%q],"state":"live","crashes":0,"incarnation":"1764837000000000000","at":%q}`,
		oldVersion, newVersion, time.Now().Format(time.RFC3339Nano))
}
