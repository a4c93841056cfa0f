package exchange

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Pull asks a member for its catalogue.
func (n *Node) Pull(ctx context.Context, id string, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	return call[*peerpb.Snapshot](ctx, n, id, func(c clients) endpoint.Endpoint { return c.pull }, r)
}

// Reserve asks a member to reserve a key of the journal.
func (n *Node) Reserve(ctx context.Context, id string, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call[*peerpb.ReserveReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.reserve }, r)
}

// Complete asks a member to complete a key of the journal.
func (n *Node) Complete(ctx context.Context, id string, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	return call[*peerpb.CompleteReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.complete }, r)
}

// Handover hands a stream over to a member.
func (n *Node) Handover(ctx context.Context, id string, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return call[*peerpb.HandoverReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.handover }, r)
}

// Usage tells a member what this instance counted.
func (n *Node) Usage(ctx context.Context, id string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	return call[*peerpb.UsageReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.usage }, r)
}

// Watch asks a member for the changes of the store that it has seen.
func (n *Node) Watch(ctx context.Context, id string, r *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	return call[*peerpb.WatchReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.watch }, r)
}

// Spend asks a member to admit a use of a workspace's allowance.
func (n *Node) Spend(ctx context.Context, id string, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	return call[*peerpb.SpendReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.spend }, r)
}

// call calls the procedure of a member that of picks.
func call[Reply any](ctx context.Context, n *Node, id string, of func(clients) endpoint.Endpoint, r any) (Reply, error) {
	var none Reply
	c, err := n.member(id)
	if err != nil {
		return none, err
	}
	// A caller that sets no deadline must not wait for a silent peer forever.
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	reply, err := invoke[Reply](ctx, of(c), r)
	if err != nil {
		return reply, Failed.Wrap(err, "call to peer %s", id)
	}
	return reply, nil
}

// member returns the clients of a member's connection.
func (n *Node) member(id string) (clients, error) {
	m, ok := n.config.Members.Member(id)
	if !ok || m.PeerAddress == "" {
		return clients{}, Unknown.New("%q is not a member with an address", id)
	}
	return n.connect(n.peer(id), m.PeerAddress)
}

// connect returns the clients of p's connection, dialled anew if the address
// has changed.
func (n *Node) connect(p *peer, address string) (clients, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return clients{}, Failed.New("connection to %s is closed", address)
	}
	if p.conn != nil && p.address == address {
		return p.clients, nil
	}
	transport := insecure.NewCredentials()
	if n.config.TLS != nil {
		transport = credentials.NewTLS(n.config.TLS)
	}
	// The passthrough scheme keeps gRPC from resolving names: peers are IP
	// addresses.
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			// A member that is back is reached within two heartbeats.
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
	if err != nil {
		return clients{}, Failed.Wrap(err, "connect to %s", address)
	}
	if p.conn != nil {
		_ = p.conn.Close() // nothing depends on how a discarded connection ends
	}
	p.conn, p.address, p.clients = conn, address, newClients(conn, n.metrics)
	return p.clients, nil
}
