package exchange

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// openTimeout bounds the time until a connection to a member is established for a stream.
const openTimeout = 400 * time.Millisecond

// OpenSend opens a stream to a member, which ends with ctx. After an error, nothing was sent.
// The caller calls release at the end, and says whether the member replied.
func (n *Node) OpenSend(ctx context.Context, id string) (stream peerpb.Peer_SendClient, release func(replied bool), err error) {
	p, c, err := n.readyConnection(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	start := time.Now()
	stream, err = peerpb.NewPeerClient(c.conn).Send(ctx)
	if err != nil {
		p.release(c)
		return nil, nil, CallFailed.Wrap(err, "open stream to %s", id)
	}
	var once sync.Once
	return stream, func(replied bool) {
		once.Do(func() {
			if !replied && c.silence.unanswered(start, time.Now()) >= silenceTimeout {
				n.replace(p, c)
			}
			p.release(c)
		})
	}, nil
}

// Probe asks a member for a sign of life on the connection that streams to it use. It returns
// nil if any arrives before ctx ends, also one of a build that does not serve probes. A
// connection that stays silent is replaced.
func (n *Node) Probe(ctx context.Context, id string) error {
	p, c, err := n.readyConnection(ctx, id)
	if err != nil {
		return err
	}
	defer p.release(c)
	start := time.Now()
	_, err = healthpb.NewHealthClient(c.conn).Check(ctx, &healthpb.HealthCheckRequest{})
	if err == nil || status.Code(err) == codes.Unimplemented || c.silence.receivedSince(start) {
		return nil
	}
	if c.silence.unanswered(start, time.Now()) >= silenceTimeout {
		n.replace(p, c)
	}
	return CallFailed.Wrap(err, "probe %s", id)
}

// readyConnection returns an established connection to a member, which the caller releases. It
// waits for openTimeout at most.
func (n *Node) readyConnection(ctx context.Context, id string) (*peer, *connection, error) {
	m, ok := n.config.Members.Member(id)
	if !ok || m.PeerAddress == "" {
		return nil, nil, UnknownMember.New("member %q is unknown or has no peer address", id)
	}
	p := n.peer(id)
	c, err := n.connect(p, m.PeerAddress)
	if err != nil {
		return nil, nil, err
	}
	if !c.awaitReady(ctx) {
		p.release(c)
		return nil, nil, CallFailed.New("connection to %s is not established in time", id)
	}
	return p, c, nil
}

// awaitReady waits until the connection is established, for openTimeout at most, and reports
// whether it is.
func (c *connection) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	for {
		state := c.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		c.conn.Connect()
		if !c.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}
