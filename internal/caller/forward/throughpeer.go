package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// roundTrip sends the request of an attempt to its server: directly, or through another
// instance if this one reaches no server.
func (e *exchange) roundTrip(a *attempt, transport *http.Transport, request *http.Request) (*http.Response, error) {
	if e.config.Peers != nil && e.Partitioned() {
		response, err := e.roundTripThroughPeer(a, transport, request)
		if !errors.Is(err, proxy.ErrNoPeer) {
			return response, err
		}
		a.throughPeer = false
	}
	a.inPartition, a.partitions = e.Partitioned(), e.reach.partitions.Load()
	stop := context.AfterFunc(e.reach.partitionBegun(), func() {
		if e.Partitioned() && a.sent.Connecting() {
			a.cancel() // the server will not accept the connection
		}
	})
	defer stop()
	return transport.RoundTrip(request)
}

// roundTripThroughPeer sends the request of an attempt through another instance.
func (e *exchange) roundTripThroughPeer(a *attempt, transport *http.Transport, request *http.Request) (*http.Response, error) {
	a.throughPeer = true
	response, peer, err := e.config.Peers.RoundTrip(request.Context(), proxy.Request{
		Server: a.server.Process(), HTTP: request, Target: e.requestURI, ID: e.id,
		Body:        func() io.ReadCloser { return nonRewindableBody{e.body.reader()} },
		Fingerprint: e.suspect.Fingerprint, Parts: e.suspect.Parts, FreshConnection: transport == e.resendTransport,
	})
	a.peer, a.peerNewConn = peer, response.NewConnection
	if err != nil {
		var failure *proxy.Failure
		if errors.As(err, &failure) {
			a.peerNotSent, a.peerSuspect = failure.NotSent, failure.PeerSuspect
		}
		return nil, err
	}
	return response.HTTP, nil
}

// nothingSent reports whether provably no byte of the request of an attempt that has failed
// reached its server.
func (a *attempt) nothingSent() bool {
	if a.throughPeer {
		return a.peerNotSent
	}
	return a.sent.NothingSent()
}

// usedNewConn reports whether no earlier request was sent on the connection to the server.
func (a *attempt) usedNewConn() bool {
	if a.throughPeer {
		return a.peerNewConn
	}
	return a.sent.NewConn()
}

// failedByPartition reports whether an attempt may have failed because this instance reached no
// server at some time since it began, which says nothing about the server.
func (e *exchange) failedByPartition(a *attempt) bool {
	if a.throughPeer {
		return false
	}
	return e.Partitioned() || e.reach.partitions.Load() != a.partitions || a.inPartition && a.sent.NothingSent()
}

// endedByPartition reports whether the last attempt ended because a partition has begun since:
// the next one is made through another instance.
func (e *exchange) endedByPartition() bool {
	last := &e.attempts[len(e.attempts)-1]
	return e.config.Peers != nil && e.failedByPartition(last) && !last.inPartition
}
