package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// peerFunc implements Peers.
type peerFunc func(ctx context.Context, r proxy.Request) (proxy.Response, error)

func (f peerFunc) RoundTrip(ctx context.Context, r proxy.Request) (proxy.Response, string, error) {
	response, err := f(ctx, r)
	return response, "peer", err
}

// through sends requests through h, as if they had come from another instance.
func through(h *Handler) peerFunc {
	return func(ctx context.Context, r proxy.Request) (proxy.Response, error) {
		r.HTTP.Body = r.Body()
		return h.SendForPeer(ctx, r)
	}
}

// refusingServers returns n servers that refuse connections.
func refusingServers(t *testing.T, n int) (servers []*rawServer) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, &rawServer{address: l.Addr().String()})
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return servers
}

// newStranded returns an instance that reaches none of n servers, once it has found that out.
func newStranded(t *testing.T, peers Peers, servers []*rawServer) (*Handler, *httptest.Server) {
	t.Helper()
	return newStrandedWith(t, servers, func(c *Config) { c.Peers = peers })
}

// newStrandedWith is like newStranded, with a change to its configuration.
func newStrandedWith(t *testing.T, servers []*rawServer, change func(*Config)) (*Handler, *httptest.Server) {
	t.Helper()
	h := newHandlerWith(t, change, 1000, 4*time.Second, servers...)
	ctx, stop := context.WithCancel(t.Context())
	watched := make(chan struct{})
	go func() {
		h.WatchReach(ctx)
		close(watched)
	}()
	f := httptest.NewServer(h)
	t.Cleanup(func() {
		f.Close()
		stop()
		<-watched
	})
	for start := time.Now(); !h.Partitioned(); {
		call(t, f, http.MethodGet, "/read/", "before")
		if time.Since(start) > 20*time.Second {
			t.Fatal("the instance does not find out that it reaches no server")
		}
	}
	return h, f
}

// Guards against callers who get no service from an instance that has lost its links to the
// servers, although other instances reach them (RECOVER).
func TestStrandedInstanceServesThroughAnotherOne(t *testing.T) {
	var reached []*rawServer
	for range 3 {
		reached = append(reached, serveRaw(t, func(c *rawConn) {
			for id := c.readRequest(); id != ""; id = c.readRequest() {
				if id == "stream" {
					c.send(head(id, "text/event-stream") + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")
					return
				}
				c.send(answer(id, "ok"))
			}
		}))
	}
	requests := func() (n int64) {
		for _, s := range reached {
			n += s.requests.Load()
		}
		return n
	}
	h, f := newStranded(t, through(newHandlerWith(t, func(*Config) {}, 1000, 4*time.Second, reached...)), refusingServers(t, 3))
	for n := range 20 {
		for _, r := range []struct{ method, path, id, body string }{
			{http.MethodGet, "/read/", "read", "ok"}, {http.MethodPost, "/book/", "book", "ok"}, {http.MethodPost, "/draft/", "stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		} {
			before := requests()
			got := call(t, f, r.method, r.path, r.id)
			if got.status != http.StatusOK || got.body != r.body || !got.complete || requests() != before+1 {
				t.Fatalf("request %d, %s: got status %d and body %q with %d sends, want 200 and %q with one", n, r.path, got.status, got.body, requests()-before, r.body)
			}
		}
	}
	if !h.Partitioned() {
		t.Error("the instance takes itself for connected")
	}
}

// Guards against requests that are sent through other instances for ever, after the links are
// back.
func TestInstanceSendsDirectlyOnceItReachesServers(t *testing.T) {
	var sends atomic.Int64
	peers := peerFunc(func(context.Context, proxy.Request) (proxy.Response, error) {
		sends.Add(1)
		return proxy.Response{}, &proxy.Failure{NotSent: true, Message: "test"}
	})
	servers := refusingServers(t, 2)
	h, f := newStranded(t, peers, servers)
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Seal", "s")
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	for start := time.Now(); h.Partitioned(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			t.Fatal("the instance does not find out that it reaches servers again")
		}
	}
	before := sends.Load()
	if got := call(t, f, http.MethodPost, "/book/", "book"); got.status != http.StatusOK || sends.Load() != before {
		t.Errorf("got status %d with %d sends through others, want 200 and none", got.status, sends.Load()-before)
	}
}

// Guards against requests that wait for other instances where there are none, and against ones
// that are tried for ever.
func TestInstanceAloneTriesItsServers(t *testing.T) {
	servers := refusingServers(t, 1)
	_, f := newStranded(t, peerFunc(func(context.Context, proxy.Request) (proxy.Response, error) {
		return proxy.Response{}, proxy.ErrNoPeer
	}), servers)
	if got := call(t, f, http.MethodPost, "/book/", "book"); got.status != http.StatusServiceUnavailable {
		t.Errorf("while no server is there: got status %d, want %d", got.status, http.StatusServiceUnavailable)
	}
	l, err := net.Listen("tcp", servers[0].address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			raw := &rawConn{c, servers[0], bufio.NewReader(c)}
			for id := raw.readRequest(); id != ""; id = raw.readRequest() {
				raw.send(answer(id, "ok"))
			}
		}
	}()
	for start := time.Now(); call(t, f, http.MethodPost, "/book/", "book").status != http.StatusOK; {
		if time.Since(start) > 20*time.Second {
			t.Fatal("no request is served once the server is back")
		}
	}
}

// Guards against a request that may have run and is said not to have, and against one that may
// run once only and is sent twice, when the other instance fails.
func TestFailuresOfPeersPromiseOnlyWhatIsTrue(t *testing.T) {
	tests := []struct {
		name    string
		failure proxy.Failure
		status  int
		sends   int64 // at most
	}{
		{"not sent", proxy.Failure{NotSent: true}, http.StatusServiceUnavailable, maxUnreachable},
		{"lost", proxy.Failure{}, http.StatusBadGateway, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sends atomic.Int64
			_, f := newStranded(t, peerFunc(func(context.Context, proxy.Request) (proxy.Response, error) {
				sends.Add(1)
				return proxy.Response{}, &tt.failure
			}), refusingServers(t, 5))
			before := sends.Load()
			got := call(t, f, http.MethodPost, "/book/", "book")
			if n := sends.Load() - before; got.status != tt.status || n == 0 || n > tt.sends {
				t.Errorf("got status %d after %d sends, want %d after 1 to %d", got.status, n, tt.status, tt.sends)
			}
		})
	}
}

// overStream sends a GET request without a body through h, over a stream between instances.
func overStream(t *testing.T, h *Handler, r proxy.Request) (proxy.Response, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	peerpb.RegisterPeerServer(s, sendServer{send: h.SendForPeer})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := peerpb.NewPeerClient(conn).Send(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r.HTTP = &http.Request{Method: http.MethodGet, Host: "app.example", Header: http.Header{"Request-Id": {r.ID}}}
	r.Body = func() io.ReadCloser { return http.NoBody }
	return proxy.RoundTrip(stream, r)
}

// sendServer serves Send.
type sendServer struct {
	peerpb.UnimplementedPeerServer
	send proxy.Sender
}

// Send implements peerpb.PeerServer.
func (s sendServer) Send(stream peerpb.Peer_SendServer) error { return proxy.Serve(stream, s.send) }

// Guards against a request of another instance that net/http repeats by itself, because it has no
// body and its method is one that may be repeated as a rule.
func TestRequestsOfPeersAreSentOnce(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		if id := c.readRequest(); id != "" {
			c.send(answer(id, "ok"))
		}
		c.readRequest() // and close the connection without a response
	})
	h := newHandlerWith(t, func(*Config) {}, 1000, 4*time.Second, s)
	request := proxy.Request{Server: "server-0/0", Target: "/book/", ID: "book"}
	var failure *proxy.Failure
	for _, isLost := range []bool{false, true} {
		response, err := overStream(t, h, request)
		if got := errors.As(err, &failure) && !failure.NotSent; got != isLost {
			t.Fatalf("got error %v, want lost %v", err, isLost)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.HTTP.Body)
			_ = response.HTTP.Body.Close()
		}
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("the server got %d requests, want each of 2 once", n)
	}
}

// Guards against requests that go round among instances that reach no server, and against ones
// sent to a server that has told this instance that it wants none.
func TestRequestsOfPeersAreRefused(t *testing.T) {
	stranded, _ := newStranded(t, nil, refusingServers(t, 3))
	leaving := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(head(id, "text/plain") + "Leaving: 1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	waiting := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: 9\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
		}
	})
	h := newHandlerWith(t, func(*Config) {}, 1000, 4*time.Second, leaving, waiting)
	request := func(server int) proxy.Request {
		return proxy.Request{
			Server: fmt.Sprintf("server-%d/0", server), Target: "/book/", ID: "book",
			HTTP: &http.Request{Method: http.MethodPost, Host: "app.example", Header: http.Header{"Request-Id": {"book"}}, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody},
		}
	}
	var failure *proxy.Failure
	if _, err := stranded.SendForPeer(t.Context(), request(0)); !errors.As(err, &failure) || !failure.NotSent || !failure.Partitioned {
		t.Errorf("an instance that reaches no server: got %v, want a refusal that says so", err)
	}
	for server, s := range []*rawServer{leaving, waiting} {
		response, err := h.SendForPeer(t.Context(), request(server))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.HTTP.Body.Close()
		if _, err := h.SendForPeer(t.Context(), request(server)); !errors.As(err, &failure) || !failure.NotSent || !failure.Refused || s.requests.Load() != 1 {
			t.Errorf("server %d: got %v after %d requests, want a refusal after one", server, err, s.requests.Load())
		}
	}
	if n := h.SendingForPeers(); n != 0 {
		t.Errorf("%d requests are still in progress", n)
	}
}
