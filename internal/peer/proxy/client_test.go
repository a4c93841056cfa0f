package proxy_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/decide/reach"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// errNoConnection is the error of a stream to an instance that cannot be connected.
var errNoConnection = errors.New("no connection")

// peer is another instance of a test.
type peer struct {
	client peerpb.PeerClient // nil if it accepts no connection
	// silent is set while it replies to no probe.
	silent atomic.Bool
}

// fleet is the other instances of a test, by ID.
type fleet map[string]*peer

// OpenSend implements proxy.Exchange.
func (f fleet) OpenSend(ctx context.Context, instance string) (peerpb.Peer_SendClient, func(bool), error) {
	if f[instance].client == nil {
		<-ctx.Done()
		return nil, nil, errNoConnection
	}
	stream, err := f[instance].client.Send(ctx)
	return stream, func(bool) {}, err
}

// Probe implements proxy.Exchange.
func (f fleet) Probe(ctx context.Context, instance string) error {
	if f[instance].silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// add adds an instance that sends with send.
func (f fleet) add(t *testing.T, id string, send proxy.Sender) *grpc.Server {
	t.Helper()
	s, client := start(t, send)
	f[id] = &peer{client: client}
	return s
}

// newClient returns a client of all instances in f.
func newClient(t *testing.T, f fleet) *proxy.Client {
	t.Helper()
	c, err := proxy.NewClient(proxy.ClientConfig{
		Instance: "self", Exchange: f, Log: zap.NewNop(), Random: func(int) int { return 0 }, Now: time.Now,
		Candidates: func() (peers []reach.Peer) {
			for _, id := range slices.Sorted(maps.Keys(f)) {
				peers = append(peers, reach.Peer{ID: id})
			}
			return peers
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(stopped)
	}()
	t.Cleanup(func() {
		stop()
		<-stopped
	})
	return c
}

// addHanging adds an instance that takes requests and then does nothing until the test ends.
func (f fleet) addHanging(t *testing.T, id string) {
	t.Helper()
	ended := make(chan struct{})
	f.add(t, id, func(context.Context, proxy.Request) (proxy.Response, error) {
		<-ended
		return proxy.Response{}, errors.New("test has ended")
	})
	t.Cleanup(func() { close(ended) })
	f[id].silent.Store(true)
}

// request returns a request without a body.
func request(id string) proxy.Request {
	return proxy.Request{Server: "server/1", Target: "/", ID: id, HTTP: &http.Request{Method: http.MethodGet, Host: "app.example", Header: http.Header{}}}
}

// ok is the response of a server.
func ok() (proxy.Response, error) {
	return proxy.Response{HTTP: &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}}, nil
}

// Guards against an instance that is cut off and refuses requests because the clients of earlier
// ones left, which says nothing about the instances through which these were sent (RECOVER).
func TestClientsThatLeaveAreNoFailureOfPeers(t *testing.T) {
	begun := make(chan struct{})
	serve := func(ctx context.Context, r proxy.Request) (proxy.Response, error) {
		if r.ID == "patient" {
			return ok()
		}
		begun <- struct{}{}
		<-ctx.Done() // a server that takes its time
		return proxy.Response{}, ctx.Err()
	}
	f := make(fleet)
	for _, id := range []string{"a", "b", "c"} {
		f.add(t, id, serve)
	}
	c := newClient(t, f)
	for n := range 12 {
		ctx, leave := context.WithCancel(t.Context())
		go func() {
			<-begun
			leave()
		}()
		if _, _, err := c.RoundTrip(ctx, request("leaves")); err == nil {
			t.Fatalf("request %d: got a response, want an error", n)
		}
		response, _, err := c.RoundTrip(t.Context(), request("patient"))
		if err != nil {
			t.Fatalf("after %d clients have left: %v", n+1, err)
		}
		_ = response.HTTP.Body.Close()
	}
}

// Guards against the same for clients that leave while a connection is awaited: the request was
// not sent, and the instance may still be reachable.
func TestClientsThatLeaveDuringConnectingAreNoFailureOfPeers(t *testing.T) {
	f := fleet{"a": new(peer)}
	c := newClient(t, f)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	var failure *proxy.Failure
	if _, _, err := c.RoundTrip(ctx, request("leaves")); !errors.As(err, &failure) || !failure.NotSent {
		t.Errorf("got %v, want that the request was not sent", err)
	}
	f.add(t, "a", func(context.Context, proxy.Request) (proxy.Response, error) { return ok() })
	if _, _, err := c.RoundTrip(t.Context(), request("patient")); err != nil {
		t.Errorf("after a client has left: %v", err)
	}
}

// Guards against an instance that hangs and gets request after request, because their clients
// leave before anything else ends them.
func TestPeersThatHangAreFoundAlthoughClientsLeave(t *testing.T) {
	f := make(fleet)
	f.addHanging(t, "a")
	f.add(t, "b", func(context.Context, proxy.Request) (proxy.Response, error) { return ok() })
	c := newClient(t, f)
	sendVia := func() string {
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		response, via, err := c.RoundTrip(ctx, request("leaves"))
		if err == nil {
			_ = response.HTTP.Body.Close()
		}
		return via
	}
	await := func(want string) {
		t.Helper()
		for start := time.Now(); sendVia() != want; {
			if time.Since(start) > 20*time.Second {
				t.Fatalf("no request is sent through %s", want)
			}
		}
	}
	await("b")
	f["a"].silent.Store(false)
	await("a")
}

// Guards against a request that is refused because the streams to all other instances have
// broken once, although they send again.
func TestPeersWhoseStreamsBrokeAreAskedAgain(t *testing.T) {
	f := make(fleet)
	for _, id := range []string{"a", "b"} {
		f.add(t, id, func(_ context.Context, r proxy.Request) (proxy.Response, error) {
			if r.ID == "breaks" {
				panic("test") // ends the stream without a reply
			}
			return ok()
		})
		f[id].silent.Store(true) // a probe must not be what brings it back
	}
	c := newClient(t, f)
	var failure *proxy.Failure
	for range f {
		if _, _, err := c.RoundTrip(t.Context(), request("breaks")); !errors.As(err, &failure) || failure.NotSent || !failure.PeerSuspect {
			t.Fatalf("got %v, want that the request may have been sent", err)
		}
	}
	response, _, err := c.RoundTrip(t.Context(), request("patient"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.HTTP.Body.Close()
}

// Guards against failures that are put down to the server behind another instance although that
// instance is the cause, or the reverse.
func TestFailuresSayWhetherThePeerMayBeTheCause(t *testing.T) {
	slow := func(ctx context.Context, _ proxy.Request) (proxy.Response, error) {
		<-ctx.Done()
		return proxy.Response{}, ctx.Err()
	}
	broken := proxy.Response{HTTP: &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&failingReader{"part"})}}
	tests := []struct {
		name    string
		send    proxy.Sender // nil if the instance hangs
		suspect bool
	}{
		{"the server is lost", func(context.Context, proxy.Request) (proxy.Response, error) {
			return proxy.Response{}, &proxy.Failure{Message: "test"}
		}, false},
		{"the server breaks off its response", func(context.Context, proxy.Request) (proxy.Response, error) { return broken, nil }, false},
		{"the server is slow", slow, false},
		{"the instance hangs", nil, true},
		{"the instance breaks off the stream", func(context.Context, proxy.Request) (proxy.Response, error) { panic("test") }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := make(fleet)
			if tt.send == nil {
				f.addHanging(t, "a")
			} else {
				f.add(t, "a", tt.send)
			}
			c := newClient(t, f)
			ctx, leave := context.WithTimeout(t.Context(), 3*time.Second)
			defer leave()
			response, _, err := c.RoundTrip(ctx, request("id"))
			if err == nil {
				_, err = io.ReadAll(response.HTTP.Body)
				_ = response.HTTP.Body.Close()
			}
			var failure *proxy.Failure
			if !errors.As(err, &failure) || failure.PeerSuspect != tt.suspect {
				t.Errorf("got %+v, want a failure with the peer suspected %v", failure, tt.suspect)
			}
		})
	}
}

// Guards against requests that reach no instance that sends, because most have an older build and
// are asked again and again.
func TestPeersOfOlderBuildsAreNotAskedAgainAtOnce(t *testing.T) {
	f := make(fleet)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		f[id] = &peer{client: serve(t, grpc.NewServer(), peerpb.UnimplementedPeerServer{})}
	}
	f.add(t, "f", func(context.Context, proxy.Request) (proxy.Response, error) { return ok() })
	c := newClient(t, f)
	if _, _, err := c.RoundTrip(t.Context(), request("first")); !errors.Is(err, proxy.ErrNoPeer) {
		t.Errorf("first request: got %v, want %v", err, proxy.ErrNoPeer)
	}
	response, via, err := c.RoundTrip(t.Context(), request("second"))
	if err != nil || via != "f" {
		t.Fatalf("second request: got %v through %q, want a response through f", err, via)
	}
	_ = response.HTTP.Body.Close()
}

// timingOut ends streams as an instance does that notices the deadline of a request first.
type timingOut struct{ peerpb.UnimplementedPeerServer }

func (timingOut) Send(peerpb.Peer_SendServer) error {
	return status.Error(codes.DeadlineExceeded, "test")
}

// Guards against an instance that is avoided because it noticed the deadline of a request before
// this one did.
func TestDeadlinesNoticedByPeersAreNoFailureOfPeers(t *testing.T) {
	f := fleet{"a": &peer{client: serve(t, grpc.NewServer(), timingOut{})}}
	f.add(t, "b", func(context.Context, proxy.Request) (proxy.Response, error) { return ok() })
	c := newClient(t, f)
	for n := range 2 {
		if _, via, err := c.RoundTrip(t.Context(), request("id")); via != "a" || err == nil {
			t.Errorf("request %d: got error %v through %q, want one through a", n, err, via)
		}
	}
}
