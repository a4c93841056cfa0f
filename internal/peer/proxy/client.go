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
)

// maxPeers bounds the instances that are asked to send one request. An instance that does not
// send it says so at once.
const maxPeers = 4

// Streams opens streams to other instances.
type Streams interface {
	// OpenSend opens a stream to an instance, which ends with ctx. After an error, nothing
	// was sent. The caller calls release at the end, and says whether the instance replied.
	OpenSend(ctx context.Context, instance string) (stream peerpb.Peer_SendClient, release func(replied bool), err error)
}

// ClientConfig configures a Client. All fields but Registerer are required.
type ClientConfig struct {
	// Instance is the ID of this instance.
	Instance string
	Streams  Streams
	// Candidates returns the live instances but this one.
	Candidates func() []reach.Peer
	// Random returns a random number below n.
	Random func(n int) int
	// Now reads the boot clock.
	Now        func() time.Time
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Client sends requests through other instances. Its methods are safe for concurrent use.
type Client struct {
	config   ClientConfig
	peers    reach.Peers
	failures *prometheus.CounterVec
}

// NewClient returns a Client. An error means that a metric cannot be registered.
func NewClient(config ClientConfig) (*Client, error) {
	c := &Client{config: config, failures: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_peer_failures_total", Help: "Requests that could not be sent through another instance, by cause.",
	}, []string{"cause"})}
	if config.Registerer == nil {
		return c, nil
	}
	return c, config.Registerer.Register(c.failures)
}

// cause is why another instance is not asked to send for a while.
type cause string

const (
	causeNotConnected cause = "not-connected" // no connection to it was established in time
	causeLost         cause = "lost"          // the stream to it ended without a reply
	causeEndedHere    cause = "ended-here"    // this instance or its client ended the stream before a reply
	causePartitioned  cause = "partitioned"   // it reaches no server either
)

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
	stream, release, err := c.config.Streams.OpenSend(ctx, id)
	if err != nil {
		cancel()
		c.peers.End(id)
		c.avoid(id, causeNotConnected, err)
		return Response{}, &Failure{NotSent: true, Message: err.Error()}
	}
	response, err := RoundTrip(stream, r)
	if err != nil {
		var failure *Failure
		replied := errors.As(err, &failure) && (failure.NotSent || failure.Replied)
		switch {
		case replied && failure.Partitioned:
			c.avoid(id, causePartitioned, err)
		case !replied && ctx.Err() != nil:
			c.avoid(id, causeEndedHere, err)
		case !replied:
			c.avoid(id, causeLost, err)
		}
		release(replied)
		cancel()
		c.peers.End(id)
		return Response{}, err
	}
	response.HTTP.Body = &clientBody{ReadCloser: response.HTTP.Body, end: func() {
		release(true)
		cancel()
		c.peers.End(id)
	}}
	return response, nil
}

// avoid records that a request could not be sent through an instance.
func (c *Client) avoid(id string, why cause, err error) {
	c.failures.WithLabelValues(string(why)).Inc()
	if c.peers.Failed(id, why == causePartitioned, c.config.Now()) {
		c.config.Log.Warn("requests are not sent through another instance for a while", zap.String("peer", id), zap.String("cause", string(why)), zap.Error(err))
	}
}

// clientBody is the body of a response that came through another instance.
type clientBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *clientBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}
