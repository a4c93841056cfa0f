package proxy

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/reach"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// maxPeers bounds the instances that are asked to send one request. An instance that does not
// send it says so at once.
const maxPeers = 4

// Exchange connects to other instances. An *exchange.Node implements it.
type Exchange interface {
	// OpenSend opens a stream to an instance, which ends with ctx. After an error, nothing
	// was sent. The caller calls release at the end, and says whether the instance replied.
	OpenSend(ctx context.Context, instance string) (stream peerpb.Peer_SendClient, release func(replied bool), err error)
	// Probe asks an instance for a sign of life, and returns nil if there is one before ctx
	// ends.
	Probe(ctx context.Context, instance string) error
}

// ClientConfig configures a Client. All fields but Registerer are required.
type ClientConfig struct {
	// Instance is the ID of this instance.
	Instance string
	Exchange Exchange
	// Candidates returns the live instances but this one.
	Candidates func() []reach.Peer
	// Random returns a random number below n.
	Random func(n int) int
	// Now reads the boot clock.
	Now        func() time.Time
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// probePeriod is the time between two checks of whether to probe other instances.
const probePeriod = 100 * time.Millisecond

// Client sends requests through other instances. Its methods are safe for concurrent use.
type Client struct {
	config   ClientConfig
	peers    reach.Peers
	failures *prometheus.CounterVec
	// sent receives a value when a request is sent.
	sent chan struct{}
}

// NewClient returns a Client, which Run supports. An error means that a metric cannot be
// registered.
func NewClient(config ClientConfig) (*Client, error) {
	c := &Client{config: config, sent: make(chan struct{}, 1), failures: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_peer_failures_total", Help: "Requests that got no response through another instance, and silences of other instances, by cause.",
	}, []string{"cause"})}
	if config.Registerer == nil {
		return c, nil
	}
	return c, config.Registerer.Register(c.failures)
}

// cause is why a request that was sent through another instance got no response, or why that
// instance is not asked for a while.
type cause string

const (
	causeNotConnected cause = "not-connected" // no connection to the instance was established in time
	causeLost         cause = "lost"          // the stream broke
	causeEndedHere    cause = "ended-here"    // this instance or its client ended the stream, which says nothing about the other one
	causeUnable       cause = "unable"        // the instance reaches no server either, or has a build that does not send for others
	causeSilent       cause = "silent"        // the instance does not reply to probes
)

// Run probes the instances through which requests are sent, while they are silent, until ctx
// ends.
func (c *Client) Run(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sent:
		}
		for awaited := true; awaited && ctx.Err() == nil; wait.For(ctx, probePeriod) {
			var ids []string
			ids, awaited = c.peers.BeginProbes(c.config.Now())
			for _, id := range ids {
				probes.Go(func() { c.probe(ctx, id) })
			}
		}
	}
}

// startProbing lets Run watch the instance through which a request is sent.
func (c *Client) startProbing() {
	select {
	case c.sent <- struct{}{}:
	default:
	}
}

// probe asks an instance for a sign of life.
func (c *Client) probe(ctx context.Context, id string) {
	probeCtx, cancel := context.WithTimeout(ctx, reach.PeerProbeTimeout)
	defer cancel()
	err := c.config.Exchange.Probe(probeCtx, id)
	if !c.peers.EndProbe(id, err == nil, c.config.Now()) {
		return
	}
	if err == nil {
		c.config.Log.Info("other instance is no longer silent", zap.String("peer", id))
		return
	}
	c.failures.WithLabelValues(string(causeSilent)).Inc()
	c.config.Log.Warn("other instance is silent; no requests are sent through it", zap.String("peer", id), zap.Error(err))
}

// RoundTrip sends a request through another instance, once at most, and returns the ID of that
// instance. The error is a *Failure, or ErrNoPeer if no other instance can send it.
func (c *Client) RoundTrip(ctx context.Context, r Request) (Response, string, error) {
	r.Instance = c.config.Instance
	candidates := c.config.Candidates()
	var tried []string
	for len(tried) < maxPeers {
		id, ok := c.peers.Choose(candidates, tried, c.config.Random, c.config.Now())
		if !ok {
			break
		}
		tried = append(tried, id)
		c.startProbing()
		response, err := c.sendThrough(ctx, id, r)
		var failure *Failure
		if errors.As(err, &failure) && failure.NotSent && !failure.Refused && ctx.Err() == nil {
			continue // the instance cannot send any request
		}
		return response, id, err
	}
	return Response{}, "", ErrNoPeer
}

// sendThrough sends a request through one instance.
func (c *Client) sendThrough(ctx context.Context, id string, r Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	send := &clientSend{Client: c, ctx: ctx, cancel: cancel, peer: id, sentAt: c.config.Now()}
	stream, release, err := c.config.Exchange.OpenSend(ctx, id)
	if err != nil {
		failure := send.fail(&Failure{NotSent: true, Message: err.Error()}, causeNotConnected)
		send.end()
		return Response{}, failure
	}
	response, err := RoundTrip(stream, r)
	if err != nil {
		failure := send.fail(err, causeLost)
		release(failure.Replied)
		send.end()
		return Response{}, failure
	}
	c.peers.Replied(id, c.config.Now())
	response.HTTP.Body = &clientBody{ReadCloser: response.HTTP.Body, send: send, release: release}
	return response, nil
}

// clientSend is a request in progress through another instance.
type clientSend struct {
	*Client
	ctx    context.Context // of the stream
	cancel context.CancelFunc
	peer   string
	sentAt time.Time
}

// end ends the stream.
func (s *clientSend) end() {
	s.cancel()
	s.peers.End(s.peer)
}

// fail records what the end of the stream says about the other instance, and returns the failure
// of the request, which says whether that instance may be the cause. lost is the cause if the
// stream broke.
func (s *clientSend) fail(err error, lost cause) *Failure {
	var failure *Failure
	if !errors.As(err, &failure) {
		failure = &Failure{Message: err.Error()}
	}
	now := s.config.Now()
	switch {
	case failure.Partitioned || failure.Unsupported:
		s.failures.WithLabelValues(string(causeUnable)).Inc()
		s.peers.Unable(s.peer, now)
	case failure.Replied:
		s.peers.Replied(s.peer, now)
	case s.ctx.Err() != nil || failure.TimedOut:
		s.failures.WithLabelValues(string(causeEndedHere)).Inc()
		failure.PeerSuspect = !s.peers.HasReplied(s.peer, s.sentAt)
	default:
		failure.PeerSuspect = true
		s.failures.WithLabelValues(string(lost)).Inc()
		if s.peers.Failed(s.peer, now) {
			s.config.Log.Warn("other instances are preferred for a while", zap.String("peer", s.peer), zap.String("cause", string(lost)), zap.Error(err))
		}
	}
	return failure
}

// clientBody is the body of a response that came through another instance.
type clientBody struct {
	io.ReadCloser
	send    *clientSend
	release func(replied bool)
	closed  sync.Once
}

// Read implements io.Reader. An error other than io.EOF is a *Failure.
func (b *clientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, b.send.fail(err, causeLost)
	}
	b.send.peers.Replied(b.send.peer, b.send.config.Now())
	return n, err
}

// Close implements io.Closer.
func (b *clientBody) Close() error {
	b.closed.Do(func() {
		b.release(true)
		b.send.end()
	})
	return b.ReadCloser.Close()
}
