package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// silenceTimeout is how long a connection may receive nothing while calls wait for replies. It
// is shorter than exchangeTimeout, so that one exchange is enough to find a silent connection.
// gRPC's own keep-alive probes at most every 10 s.
const silenceTimeout = 800 * time.Millisecond

// connection is a connection to a member.
type connection struct {
	conn    *grpc.ClientConn
	address string
	clients clients
	silence *silence

	// The mutex of the peer guards these.
	calls   int  // in progress
	retired bool // closed once no call is in progress
}

// silence tells for how long a connection has received nothing although it should have.
type silence struct {
	mu           sync.Mutex
	lastReceived time.Time
	waitingSince time.Time // start of the first failed call since lastReceived; zero if there is none
}

// received records that bytes have arrived.
func (s *silence) received(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived, s.waitingSince = now, time.Time{}
}

// receivedSince reports whether bytes have arrived since a time.
func (s *silence) receivedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReceived.After(t)
}

// unanswered records that a call that began at start has got no reply until now, and returns
// for how long nothing has arrived while calls were waiting.
func (s *silence) unanswered(start, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if start.Before(s.lastReceived) {
		start = s.lastReceived
	}
	if s.waitingSince.IsZero() || start.Before(s.waitingSince) {
		s.waitingSince = start
	}
	return now.Sub(s.waitingSince)
}

// observedConn records in silence what it receives.
type observedConn struct {
	net.Conn
	silence *silence
}

// Read implements net.Conn.
func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.silence.received(time.Now())
	}
	return n, err
}

// connect returns the connection to p, which the caller releases. It replaces the connection
// if the address has changed.
func (n *Node) connect(p *peer, address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, CallFailed.New("connection to %s is closed", address)
	}
	if p.connection == nil || p.connection.address != address {
		c, err := n.dial(address)
		if err != nil {
			return nil, err
		}
		if p.connection != nil {
			_ = p.connection.conn.Close() // a failed close of a discarded connection has no effect
		}
		p.connection = c
	}
	p.connection.calls++
	return p.connection, nil
}

// dial returns a new connection to address. It does not wait until it is established.
func (n *Node) dial(address string) (*connection, error) {
	creds := insecure.NewCredentials()
	if n.config.TLS != nil {
		creds = credentials.NewTLS(n.config.TLS)
	}
	c := &connection{address: address, silence: new(silence)}
	var dialer net.Dialer
	// The passthrough scheme disables name resolution: peer addresses are IP
	// addresses.
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &observedConn{conn, c.silence}, nil
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			// A member that becomes reachable again is connected within two heartbeats.
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, CallFailed.Wrap(err, "connect to %s", address)
	}
	c.conn, c.clients = conn, newClients(conn, n.metrics)
	return c, nil
}

// replace begins to replace a silent connection to p. Calls go on using it until the new one
// is established: if the member is paused or unreachable, a new one does not help. A
// connection that is not established is replaced by gRPC itself.
func (n *Node) replace(p *peer, silent *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.replacing == silent || p.connection != silent || silent.conn.GetState() != connectivity.Ready {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	next, err := n.dial(silent.address)
	if err != nil {
		return
	}
	p.replacing = silent
	n.wg.Go(func() { n.finishReplacing(p, silent, next) })
}

// finishReplacing waits until next is established and uses it in place of silent.
func (n *Node) finishReplacing(p *peer, silent, next *connection) {
	established := n.establish(p, silent, next)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replacing == silent {
		p.replacing = nil
	}
	if !established || p.closed || p.connection != silent {
		_ = next.conn.Close() // a failed close of a discarded connection has no effect
		return
	}
	p.connection = next
	p.retire(silent)
	p.lastExchange = time.Time{} // the next exchange is due
	n.metrics.replaced.Inc()
	n.config.Logger.Info("silent connection to peer replaced", zap.String("address", next.address))
}

// establish waits until next is established, and reports whether it is before p or the node is
// closed, or p no longer uses the silent connection, because the member has another address.
func (n *Node) establish(p *peer, silent, next *connection) bool {
	for {
		state := next.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		next.conn.Connect()
		if !p.uses(silent) || !next.conn.WaitForStateChange(n.background, state) {
			return false
		}
	}
}
