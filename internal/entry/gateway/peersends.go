package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/reach"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// maxSendPeers bounds the instances that are asked to send one request. An instance that does
// not send it says so at once.
const maxSendPeers = 4

// peerSender sends requests through other instances. It implements forward.Peers.
type peerSender struct {
	instance *Instance
	peers    reach.Peers
	failures *prometheus.CounterVec
}

// newPeerSender returns a sender of requests of f. An error means that a metric cannot be
// registered.
func newPeerSender(f *Instance) (*peerSender, error) {
	failures := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_peer_failures_total", Help: "Requests that could not be sent through another instance, by cause.",
	}, []string{"cause"})
	return &peerSender{instance: f, failures: failures}, f.registry.Register(failures)
}

// peerFailure is the cause for which another instance is not asked to send for a while.
type peerFailure string

const (
	peerNotConnected peerFailure = "not-connected" // no connection to it was established in time
	peerLost         peerFailure = "lost"          // the stream to it ended without a reply
	peerEndedHere    peerFailure = "ended-here"    // this instance or its client ended the stream before a reply
	peerPartitioned  peerFailure = "partitioned"   // it reaches no server either
)

// avoid records that a request could not be sent through a peer.
func (s *peerSender) avoid(id string, cause peerFailure, err error) {
	s.failures.WithLabelValues(string(cause)).Inc()
	if s.peers.Failed(id, cause == peerPartitioned, s.instance.now()) {
		s.instance.config.Log.Warn("requests are not sent through another instance for a while", zap.String("peer", id), zap.String("cause", string(cause)), zap.Error(err))
	}
}

// RoundTrip implements forward.Peers.
func (s *peerSender) RoundTrip(ctx context.Context, r proxy.Request) (proxy.Response, string, error) {
	r.Instance = s.instance.config.ID
	candidates := s.candidates()
	var tried []string
	for len(tried) < maxSendPeers {
		id, ok := s.peers.Choose(candidates, tried, rand.IntN, s.instance.now())
		if !ok {
			break
		}
		tried = append(tried, id)
		response, err := s.sendThrough(ctx, id, r)
		var failure *proxy.Failure
		if errors.As(err, &failure) && failure.NotSent && !failure.Refused && ctx.Err() == nil {
			continue // the instance cannot send any request
		}
		return response, id, err
	}
	return proxy.Response{}, "", proxy.ErrNoPeer
}

// candidates returns the live instances but this one.
func (s *peerSender) candidates() (peers []reach.Peer) {
	f := s.instance
	for _, id := range f.members.Live("", time.Now()) {
		if m, ok := f.members.Member(id); ok && id != f.config.ID {
			peers = append(peers, reach.Peer{ID: id, Capacity: m.Capacity, IsLocal: m.FailureDomain == f.config.FailureDomain})
		}
	}
	return peers
}

// sendThrough sends a request through one instance.
func (s *peerSender) sendThrough(ctx context.Context, id string, r proxy.Request) (proxy.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, release, err := s.instance.exchange.OpenSend(ctx, id)
	if err != nil {
		cancel()
		s.peers.End(id)
		s.avoid(id, peerNotConnected, err)
		return proxy.Response{}, &proxy.Failure{NotSent: true, Message: err.Error()}
	}
	response, err := proxy.RoundTrip(stream, r)
	if err != nil {
		var failure *proxy.Failure
		replied := errors.As(err, &failure) && (failure.NotSent || failure.Replied)
		switch {
		case replied && failure.Partitioned:
			s.avoid(id, peerPartitioned, err)
		case !replied && ctx.Err() != nil:
			s.avoid(id, peerEndedHere, err)
		case !replied:
			s.avoid(id, peerLost, err)
		}
		release(replied)
		cancel()
		s.peers.End(id)
		return proxy.Response{}, err
	}
	response.HTTP.Body = &peerBody{ReadCloser: response.HTTP.Body, end: func() {
		release(true)
		cancel()
		s.peers.End(id)
	}}
	return response, nil
}

// peerBody is the body of a response that came through another instance.
type peerBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (b *peerBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}

// serveSend sends a request of another instance to a backend server.
func (f *Instance) serveSend(stream peerpb.Peer_SendServer) error {
	return proxy.Serve(stream, f.handler.SendForPeer)
}
