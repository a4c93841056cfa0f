package exchange

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Pull requests a member's catalogue.
func (n *Node) Pull(ctx context.Context, id string, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	return call[*peerpb.Snapshot](ctx, n, id, func(c clients) endpoint.Endpoint { return c.pull }, r)
}

// Reserve asks a member to reserve a key in the journal.
func (n *Node) Reserve(ctx context.Context, id string, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call[*peerpb.ReserveReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.reserve }, r)
}

// Complete asks a member to record the response to a reserved call in the
// journal.
func (n *Node) Complete(ctx context.Context, id string, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	return call[*peerpb.CompleteReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.complete }, r)
}

// Handover transfers a stream to a member.
func (n *Node) Handover(ctx context.Context, id string, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return call[*peerpb.HandoverReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.handover }, r)
}

// Usage sends a member the usage counts of this instance.
func (n *Node) Usage(ctx context.Context, id string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	return call[*peerpb.UsageReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.usage }, r)
}

// Watch requests the store changes that a member has seen.
func (n *Node) Watch(ctx context.Context, id string, r *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	return call[*peerpb.WatchReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.watch }, r)
}

// List requests a page of the keys of the store that a member knows.
func (n *Node) List(ctx context.Context, id string, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return call[*peerpb.ListReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.list }, r)
}

// Spend asks a member to admit a use of a workspace's allowance.
func (n *Node) Spend(ctx context.Context, id string, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	return call[*peerpb.SpendReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.spend }, r)
}

// Claim asks a member to add a request to the work of a backend server.
func (n *Node) Claim(ctx context.Context, id string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return call[*peerpb.ClaimReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.claim }, r)
}

// Progress tells a member how claimed requests went on.
func (n *Node) Progress(ctx context.Context, id string, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	return call[*peerpb.ProgressReply](ctx, n, id, func(c clients) endpoint.Endpoint { return c.progress }, r)
}

// call calls the endpoint that selectEndpoint selects from the clients of the
// member id.
func call[Reply any](ctx context.Context, n *Node, id string, selectEndpoint func(clients) endpoint.Endpoint, r any) (Reply, error) {
	var zero Reply
	m, ok := n.config.Members.Member(id)
	if !ok || m.PeerAddress == "" {
		return zero, UnknownMember.New("member %q is unknown or has no peer address", id)
	}
	// A caller without a deadline must not wait indefinitely for an unresponsive
	// peer.
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	reply, err := callPeer[Reply](ctx, n, n.peer(id), m.PeerAddress, selectEndpoint, r)
	if err != nil {
		return reply, CallFailed.Wrap(err, "call to peer %s", id)
	}
	return reply, nil
}

// callPeer makes a call on the connection to p. If the connection has been silent for too
// long, it is replaced for further calls.
func callPeer[Reply any](ctx context.Context, n *Node, p *peer, address string, selectEndpoint func(clients) endpoint.Endpoint, r any) (Reply, error) {
	var zero Reply
	c, err := n.connect(p, address)
	if err != nil {
		return zero, err
	}
	defer p.release(c)
	start := time.Now()
	reply, err := invoke[Reply](ctx, selectEndpoint(c.clients), r)
	if err != nil && ctx.Err() != nil && c.silence.unanswered(start, time.Now()) >= silenceTimeout {
		n.replace(p, c)
	}
	return reply, err
}
