package scaling

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
	// demandsPerNode is the number of pairs of workspace and entry for which a
	// node has demand. A node has about 7 requests/s and counts each pair for
	// 6 s after its last request, which is about 42 requests; 10 assumes that
	// these concentrate on a few pairs.
	demandsPerNode = 10
	// countersPerNode is the number of a node's evidence counters for one move:
	// two versions at three load levels on one route.
	countersPerNode = 6
	// maxRelayedWorkers is the number of workers up to which load reports are
	// relayed to other failure domains; package instance has the same limit.
	maxRelayedWorkers = 200
)

func peerID(i int) string { return fmt.Sprintf("entry-peer-%03d", i) }

// peerDomain returns the failure domain of a peer. The measured process is counted
// as the first node, in domain 0, so peer 0 is in domain 1.
func peerDomain(i int) int { return (i + 1) % domains }

// peers holds all light peers, which share one gRPC server.
type peers struct {
	peerpb.UnimplementedPeerServer
	counters  *counters
	server    *grpc.Server
	serving   errgroup.Group
	all       []*lightPeer
	byAddress map[string]*lightPeer
	// holder is the light peer that holds the store's watch in domain 0, or nil
	// if the measured process holds it.
	holder *lightPeer

	bare      bool                            // send digests without load reports, demand and evidence
	conn      atomic.Pointer[grpc.ClientConn] // to the measured process
	pulling   sync.WaitGroup                  // running calls of pullCatalogue
	moving    atomic.Bool                     // send evidence counters of a version move
	catalogue atomic.Pointer[peerpb.Snapshot] // latest catalogue written to the store
}

// Unchanged load and demand are sent again in every third exchange, which
// approximates the 4 s after which a real instance sends them again.
const (
	beatsPerLoadReport   = 3
	beatsPerDemandReport = 3
)

// lightPeer is the state that one light peer sends.
type lightPeer struct {
	id, address     string
	domain          int
	incarnation     int64
	beat            atomic.Uint64
	revision        atomic.Int64 // latest catalogue revision announced by the measured process
	reportedNodes   []string     // nodes whose demand and evidence the peer sends
	reportedWorkers []string     // workers whose load reports the peer sends
}

// newPeers starts the light peers of a shape, each on an address of its own.
func newPeers(shape Shape, self string, c *counters) (*peers, error) {
	ps := &peers{counters: c, bare: shape.Bare, byAddress: make(map[string]*lightPeer), server: grpc.NewServer(grpc.MaxRecvMsgSize(4 << 20))}
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
		ps.byAddress[p.address] = p
		members[p.domain] = append(members[p.domain], p.id)
		ps.serving.Go(func() error { return ps.server.Serve(countingListener{l, c, "peers"}) })
	}
	ps.assignReports(shape, members)
	if h := membership.Owner(xxhash.Sum64String("watch"), members[0]); h != self {
		for _, p := range ps.all {
			if p.id == h {
				ps.holder = p
			}
		}
	}
	return ps, nil
}

// assignReports determines which nodes and workers each peer reports. A peer in
// the failure domain of the measured process reports itself and the workers that
// it polls. A peer in another failure domain reports the sums over its domain and,
// up to maxRelayedWorkers, the load of all workers there.
func (ps *peers) assignReports(shape Shape, members [domains][]string) {
	workers := make(map[string][]string)
	for i := range shape.Workers {
		owner := membership.Owner(xxhash.Sum64String(workerID(i)), members[i%domains])
		workers[owner] = append(workers[owner], workerID(i))
	}
	for _, p := range ps.all {
		p.reportedNodes = []string{p.id}
		if p.domain != 0 {
			p.reportedNodes = []string{evidence.DomainNode(domainName(p.domain))}
			if shape.Workers <= maxRelayedWorkers {
				for _, id := range members[p.domain] {
					p.reportedWorkers = append(p.reportedWorkers, workers[id]...)
				}
			}
			continue
		}
		p.reportedWorkers = workers[p.id]
	}
}

func (p *lightPeer) instance() instances.Instance {
	return instances.Instance{
		ID: p.id, Role: instances.RoleEntry, Region: regionName(p.domain), FailureDomain: domainName(p.domain),
		Address: p.address, PeerAddress: p.address, OperationsAddress: p.address, State: instances.StateLive, Class: "small",
	}
}

// Exchange implements peerpb.PeerServer.
func (ps *peers) Exchange(ctx context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	p, err := ps.calledPeer(ctx)
	if err != nil {
		return nil, err
	}
	ps.countParts(d)
	// As real peers do, the light peers in the domain of the measured process
	// pull once for each revision that it announces as holder of the watch.
	if ps.holder == nil && p.domain == 0 && p.revision.Swap(d.CatalogueRevision) < d.CatalogueRevision {
		ps.pulling.Go(ps.pullCatalogue)
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

// calledPeer returns the peer to which a call is addressed, identified by the local
// address of the connection.
func (ps *peers) calledPeer(ctx context.Context) (*lightPeer, error) {
	from, ok := peer.FromContext(ctx)
	if !ok || from.LocalAddr == nil {
		return nil, status.Error(codes.Internal, "call has no local address")
	}
	p, ok := ps.byAddress[from.LocalAddr.String()]
	if !ok {
		return nil, status.Error(codes.Internal, "no peer has the address")
	}
	return p, nil
}

// countParts counts the bytes of each part of a digest that the measured process
// sent, and the records in it.
func (ps *peers) countParts(d *peerpb.Digest) {
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

// digest returns the digest that a peer sends.
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
	for _, w := range p.reportedWorkers {
		if beat%beatsPerLoadReport != 0 {
			break
		}
		d.Loads = append(d.Loads, &peerpb.Load{
			Backend: w, Running: 6, Queued: 1, Capacity: 16, Versions: []string{oldVersion, newVersion}, At: now, Incarnation: "1764837000000000000",
		})
	}
	for _, node := range p.reportedNodes {
		for i := range demandsPerNode {
			if beat%beatsPerDemandReport != 0 {
				break
			}
			d.Demands = append(d.Demands, &peerpb.Demand{
				Node: node, Entry: entryName(i), Workspace: workspaceName(i), RequestsPerSecond: 0.7, Concurrent: 7, At: now,
			})
		}
		if ps.moving.Load() {
			// Each node answers one request per second for the moving entry: 360
			// of the 2,600 requests/s, a seventh of the target traffic.
			d.Counters = append(d.Counters, evidenceCounters(node, uint64(now/int64(time.Second)))...)
		}
	}
	return d
}

// evidenceCounters returns a node's counters after n requests, which are
// distributed over the counters in turn.
func evidenceCounters(node string, n uint64) (cs []*peerpb.Counter) {
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

// connect creates the connection to the measured process, on which the light peers
// announce revisions and pull the catalogue.
func (ps *peers) connect(address string) error {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, ps.counters, "served"}, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithContextDialer(dial), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(4<<20)))
	ps.conn.Store(c)
	return err
}

// announceRevision sends the latest catalogue revision from the holder of the watch
// to the measured process, as a real holder does immediately. It does nothing if
// the process is the holder.
func (ps *peers) announceRevision(ctx context.Context) error {
	if ps.holder == nil {
		return nil
	}
	_, err := peerpb.NewPeerClient(ps.conn.Load()).Exchange(ctx, ps.digest(ps.holder))
	return err
}

// pullCatalogue pulls the catalogue from the measured process, as a peer in its
// failure domain does when the process announces a new revision.
func (ps *peers) pullCatalogue() {
	conn := ps.conn.Load()
	if conn == nil {
		return // the process may announce a revision before connect is called
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := peerpb.NewPeerClient(conn).Pull(ctx, &peerpb.PullRequest{}); err == nil {
		ps.counters.add("pulls.served", 1)
	}
}

func (ps *peers) stop() error {
	ps.server.Stop()
	ps.pulling.Wait()
	_ = ps.serving.Wait() // Serve returns nil after Stop
	if conn := ps.conn.Load(); conn != nil {
		return conn.Close()
	}
	return nil
}

func workerID(i int) string { return fmt.Sprintf("worker-%04d", i) }

// newWorker returns the instance of a light worker. All light workers share the
// address that serves the load report.
func newWorker(i int, address string) instances.Instance {
	return instances.Instance{
		ID: workerID(i), Role: instances.RoleBackend, Kind: instances.KindLanguage, Entry: entryName(i / domains % languageEntries),
		Region: regionName(i % domains), FailureDomain: domainName(i), Address: address, State: instances.StateLive,
		Class: "standard", Reclaimable: i%5 != 0, Price: 0.12,
	}
}

// serveLoadReport serves the load report that all light workers share.
func serveLoadReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"running":6,"queued":1,"capacity":16,"versions":[%q,%q],"state":"live","crashes":0,"incarnation":"1764837000000000000","at":%q}`,
		oldVersion, newVersion, time.Now().Format(time.RFC3339Nano))
}
