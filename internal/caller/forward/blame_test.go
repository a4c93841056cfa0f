package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// undecidedVersions is a move in progress that keeps the results it is given and prefers no
// version.
type undecidedVersions struct{ recordingVersions }

func (*undecidedVersions) Choose(string, string, uint64) VersionChoice {
	return VersionChoice{Move: "m", NewVersion: "v2"}
}

// failures returns the number of failures that count against a version.
func (v *undecidedVersions) failures() (n int) {
	for _, r := range v.all() {
		if r.Failed {
			n++
		}
	}
	return n
}

// blames reports whether h avoids one of its servers.
func blames(h *Handler) bool {
	for _, servers := range h.config.Pool.Services() {
		for _, s := range servers {
			if s.Avoided(time.Now()) {
				return true
			}
		}
	}
	return false
}

// brokenBody is the body of a response that ends with an error.
type brokenBody struct{ err error }

func (b brokenBody) Read([]byte) (int, error) { return 0, b.err }

func (brokenBody) Close() error { return nil }

// Guards against servers that are avoided, and versions that are rolled back, because an instance
// through which requests are sent was lost or silent (RECOVER).
func TestFailuresOfPeersSayNothingAboutServers(t *testing.T) {
	broken := func(id string, f *proxy.Failure) (proxy.Response, error) {
		return proxy.Response{HTTP: &http.Response{
			StatusCode: http.StatusOK, Header: http.Header{"Request-Id": {id}, "Seal": {"s"}}, ContentLength: 9, Body: brokenBody{f},
		}}, nil
	}
	lost := func(_ string, f *proxy.Failure) (proxy.Response, error) { return proxy.Response{}, f }
	tests := []struct {
		name    string
		respond func(id string, f *proxy.Failure) (proxy.Response, error)
		failure proxy.Failure
		blamed  bool
	}{
		{"the other instance is lost", lost, proxy.Failure{PeerSuspect: true}, false},
		{"the other instance is lost during the response", broken, proxy.Failure{PeerSuspect: true}, false},
		{"no connection to the other instance", lost, proxy.Failure{NotSent: true, PeerSuspect: true}, false},
		{"the server is lost", lost, proxy.Failure{Replied: true}, true},
		{"the server is lost during the response", broken, proxy.Failure{Replied: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := new(undecidedVersions)
			h, f := newStrandedWith(t, refusingServers(t, 3), func(c *Config) {
				c.Versions = v
				c.Peers = peerFunc(func(_ context.Context, r proxy.Request) (proxy.Response, error) { return tt.respond(r.ID, &tt.failure) })
			})
			call(t, f, http.MethodPost, "/book/", "book")
			if got := blames(h); got != tt.blamed {
				t.Errorf("got server avoided %v, want %v", got, tt.blamed)
			}
			if got := v.failures() > 0; got != (tt.blamed && !tt.failure.NotSent) {
				t.Errorf("got a failure of the version %v, want %v", got, tt.blamed)
			}
		})
	}
}

// Guards against servers that are avoided, and versions that are rolled back, because clients
// gave them less time than the route's objective.
func TestShortTimeoutsOfClientsSayNothingAboutServers(t *testing.T) {
	tests := []struct {
		name      string
		remaining string // ms; the objective is 500
		blamed    bool
	}{
		{"less than the objective", "60", false},
		{"more than the objective", "800", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := serveRaw(t, func(c *rawConn) {
				c.readRequest()
				<-release
			})
			t.Cleanup(func() { close(release) })
			v := new(undecidedVersions)
			h := newHandlerWith(t, func(c *Config) { c.Versions = v }, 1000, 2*time.Second, s)
			f := httptest.NewServer(h)
			t.Cleanup(f.Close)
			send(t, f, http.MethodPost, "/book/", "book", http.Header{"Remaining": {tt.remaining}})
			if got := blames(h); got != tt.blamed {
				t.Errorf("got server avoided %v, want %v", got, tt.blamed)
			}
			if got := v.failures() > 0; got != tt.blamed {
				t.Errorf("got a failure of the version %v, want %v", got, tt.blamed)
			}
		})
	}
}

// Guards against servers that are avoided, and versions that are rolled back, because a partition
// of this instance began and ended while a request was in progress.
func TestPastPartitionsSayNothingAboutServers(t *testing.T) {
	for _, inPartition := range []bool{false, true} {
		begun, lost := make(chan struct{}), make(chan struct{})
		s := serveRaw(t, func(c *rawConn) {
			if c.readRequest() != "" {
				close(begun)
				<-lost // and close the connection without a response
			}
		})
		v := new(undecidedVersions)
		h := newHandlerWith(t, func(c *Config) { c.Versions = v }, 1000, 4*time.Second, s)
		f := httptest.NewServer(h)
		t.Cleanup(f.Close)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			call(t, f, http.MethodPost, "/book/", "book")
		}()
		<-begun
		if inPartition {
			now := time.Now()
			h.reach.detector.EndProbe(1, 0, now)
			h.beginPartition(1)
			h.reach.detector.EndProbe(1, 1, now)
			h.endPartition(1, 1)
		}
		close(lost)
		<-ended
		if got := blames(h); got == inPartition {
			t.Errorf("with a partition %v: got server avoided %v", inPartition, got)
		}
		if got := v.failures() > 0; got == inPartition {
			t.Errorf("with a partition %v: got a failure of the version %v", inPartition, got)
		}
	}
}

// Guards against servers that an instance avoids because another one, or a client of that one,
// ended a request that it sent for it.
func TestEndsOfOtherInstancesSayNothingAboutServers(t *testing.T) {
	for _, part := range []string{"", head("book", "text/plain") + "Content-Length: 9\r\n\r\n", head("book", "text/plain") + "Content-Length: 9\r\n\r\npart"} {
		begun, release := make(chan struct{}), make(chan struct{})
		s := serveRaw(t, func(c *rawConn) {
			if c.readRequest() != "" {
				c.send(part)
				close(begun)
				<-release
			}
		})
		t.Cleanup(func() { close(release) })
		h := newHandlerWith(t, func(*Config) {}, 1000, 4*time.Second, s)
		ctx, leave := context.WithCancel(t.Context())
		go func() {
			<-begun
			time.Sleep(20 * time.Millisecond) // the part arrives
			leave()
		}()
		response, err := h.SendForPeer(ctx, proxy.Request{Server: "server-0/0", Target: "/book/", ID: "book", HTTP: &http.Request{
			Method: http.MethodPost, Host: "app.example", Header: http.Header{"Request-Id": {"book"}}, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
		}})
		if err == nil {
			_, err = io.ReadAll(response.HTTP.Body)
			_ = response.HTTP.Body.Close()
		}
		if err == nil || errors.Is(err, io.EOF) {
			t.Errorf("after %q: got error %v, want one", strings.TrimSpace(part), err)
		}
		if blames(h) {
			t.Errorf("after %q: the server is avoided", strings.TrimSpace(part))
		}
	}
}
