package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/backend/tcp"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// maxSendingForPeers bounds the requests of other instances that are in progress at a time, and
// so the memory of their buffers, of 32 KB each.
const maxSendingForPeers = 256

// SendingForPeers returns the number of requests of other instances in progress.
func (h *Handler) SendingForPeers() int { return int(h.sendingForPeers.Load()) }

// SendForPeer sends a request of another instance, which does not reach the server, once at
// most. That instance has checked it, chosen the server and counted the attempt. The error is
// a *proxy.Failure.
func (h *Handler) SendForPeer(ctx context.Context, r proxy.Request) (proxy.Response, error) {
	s, failure := h.acceptForPeer(r)
	if failure != nil {
		h.metrics.forPeers.WithLabelValues("refused").Inc()
		return proxy.Response{}, failure
	}
	p := &peerSend{Handler: h, server: s, request: r, sentAt: h.config.Now()}
	h.sendingForPeers.Add(1)
	s.Begin(0, p.sentAt)
	response, err := p.send(ctx)
	if err != nil {
		p.end(outcomeLost)
		return proxy.Response{}, err
	}
	response.HTTP.Body = &peerSendBody{ReadCloser: response.HTTP.Body, send: p}
	return response, nil
}

// acceptForPeer returns the server of a request of another instance, or why it is not sent.
func (h *Handler) acceptForPeer(r proxy.Request) (*pool.Worker, *proxy.Failure) {
	switch {
	case h.Partitioned():
		return nil, &proxy.Failure{NotSent: true, Partitioned: true, Message: "instance reaches no server"}
	case h.config.Draining() || h.sendingForPeers.Load() >= maxSendingForPeers:
		return nil, &proxy.Failure{NotSent: true, Message: "instance stops or is busy"}
	}
	s := h.config.Pool.Find(r.Server)
	now := h.config.Now()
	if s == nil || !s.AcceptsForPeer(now) || s.Avoided(now) {
		return nil, &proxy.Failure{NotSent: true, Refused: true, Message: "server is not usable"}
	}
	return s, nil
}

// peerSend is a request of another instance in progress.
type peerSend struct {
	*Handler
	server  *pool.Worker
	request proxy.Request
	sentAt  time.Time
	headAt  time.Time // when the head of the response arrived; zero if it has not
	status  int       // of the response
	ended   bool
}

// send sends the request and returns the response once its head has arrived.
func (p *peerSend) send(ctx context.Context) (proxy.Response, error) {
	target, ok := targetURL(p.server.Address, p.request.Target)
	if !ok {
		return proxy.Response{}, &proxy.Failure{NotSent: true, Refused: true, Message: "request target is malformed"}
	}
	transport := p.server.Transport
	if p.request.FreshConnection {
		transport = p.resendTransport
	}
	trace := new(tcp.SendTrace)
	request := p.request.HTTP.WithContext(trace.Context(ctx))
	request.URL = target
	request.Body = nonRewindableBody{request.Body}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return proxy.Response{}, p.fail(ctx, trace, err)
	}
	p.headAt, p.status = p.config.Now(), response.StatusCode
	p.server.Received(p.headAt)
	p.recordHead(response)
	return proxy.Response{HTTP: response, NewConnection: trace.NewConn()}, nil
}

// fail records that there was no response, and returns the failure.
func (p *peerSend) fail(ctx context.Context, trace *tcp.SendTrace, err error) *proxy.Failure {
	failure := &proxy.Failure{NotSent: trace.NothingSent(), Message: err.Error()}
	if failure.NotSent && ctx.Err() == nil && p.reach.detector.ConnectFailed(p.server.ID, p.sentAt, p.config.Now()) {
		p.reach.requestProbe()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		trace.DropIdle(p.server.Transport)
	}
	if ctx.Err() == nil {
		p.recordLoss(failure.NotSent)
	}
	return failure
}

// recordLoss records that the server gave no complete response.
func (p *peerSend) recordLoss(notSent bool) {
	now := p.config.Now()
	p.server.Failed(now)
	if notSent {
		return
	}
	events := 0
	if !p.headAt.IsZero() {
		events = 1
	}
	p.config.Poison.ReportLoss(Loss{
		Server: p.server.ID, Address: p.server.Address, Incarnation: p.server.Incarnation,
		Request: poison.Request{Fingerprint: p.request.Fingerprint, Parts: p.request.Parts},
		Events:  events, Responding: events > 0 && now.Sub(p.headAt) > crashWindow,
	})
}

// recordHead records what the head of a response says about the server.
func (p *peerSend) recordHead(r *http.Response) {
	isOwn := r.Header.Get(p.config.Headers.Request) == p.request.ID
	p.recordServerState(p.server, r, p.sentAt, isOwn)
	if !isOwn {
		p.server.Transport.CloseIdleConnections() // they may hold extra responses too
		return
	}
	if r.Header.Get(p.config.Headers.NotRun) != "" {
		p.server.Rejected(p.headAt, rejectionPause(p.server))
	}
}

// end records the end of the request.
func (p *peerSend) end(result outcome) {
	if p.ended {
		return
	}
	p.ended = true
	p.server.End()
	p.sendingForPeers.Add(-1)
	p.metrics.forPeers.WithLabelValues(result.String()).Inc()
	now := p.config.Now()
	if !p.mayLog(&p.routineLogLimit, "routine", now) {
		return
	}
	p.config.Log.Info("request of another instance ended", zap.String("request", p.request.ID), zap.String("sender", p.request.Instance),
		zap.String("server", p.server.ID), zap.Stringer("fate", result), zap.Duration("took", now.Sub(p.sentAt)))
}

// peerSendBody is the body of the response to a request of another instance.
type peerSendBody struct {
	io.ReadCloser
	send *peerSend
}

// Read implements io.Reader.
func (b *peerSendBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	p := b.send
	if n > 0 {
		p.server.Received(p.config.Now())
	}
	switch {
	case errors.Is(err, io.EOF):
		if p.status < http.StatusInternalServerError {
			p.server.Succeeded(p.config.Now())
		}
		p.end(outcomeAnswered)
	case err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		p.recordLoss(false)
		p.end(outcomeLost)
	}
	return n, err
}

// Close implements io.Closer.
func (b *peerSendBody) Close() error {
	b.send.end(outcomeLost) // has no effect if the body was read to its end
	return b.ReadCloser.Close()
}
