package connlimit

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// legalHead is the size of the largest head of the deployments, in bytes.
const legalHead = 16_384

// defaults are limits like those of the settings.
func defaults() Limits {
	return Limits{HeadBytes: 64 << 10, HeadLines: 5500, HeadTimeout: time.Minute, IdleTimeout: time.Minute, BodyStall: time.Minute, WriteStall: time.Minute}
}

// serve serves HTTP in a group and returns the address. The handler answers with the
// length of the body, or with 408 or 503 if the group ended the read.
func serve(t testing.TB, l Limits, memory *limit.Memory) (*Group, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{Limits: func() Limits { return l }, Memory: memory, Listener: "clients"})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		switch {
		case errors.Is(err, ErrStalled):
			w.WriteHeader(http.StatusRequestTimeout)
		case errors.Is(err, ErrMemoryFull):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err == nil:
			fmt.Fprint(w, len(b))
		}
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Serve(s, inner) // returns after Close
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return g, inner.Addr().String()
}

// dial opens a connection and sends data.
func dial(t testing.TB, address, data string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = io.WriteString(c, data) // the server may close the connection meanwhile
	return c
}

// status returns the status of the next response, or 0 if none comes.
func status(c net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// headOf returns a complete head of about the given size.
func headOf(size int, line string) string {
	const start = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
	return start + strings.Repeat(line, (size-len(start)-2)/len(line)) + "\r\n"
}

// Guards against a legal request that is refused, and against one beyond the limits that
// is not, or whose refusal says nothing of why.
func TestHeads(t *testing.T) {
	full := limit.NewMemory(limit.MemoryConfig{Bytes: 64 << 10})
	for _, tt := range []struct {
		name, request string
		memory        *limit.Memory
		want          int
	}{
		{"ordinary", headOf(500, "Name: value\r\n"), full, 200},
		{"legal size in one line", "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", legalHead-40) + "\r\n\r\n", nil, 200},
		{"legal size in shortest lines", headOf(legalHead, "a:\n"), nil, 200},
		{"legal size that does not fit into the memory", headOf(legalHead, "a:\n"), full, 503},
		{"too many lines", headOf(40<<10, "a:\n"), nil, 431},
		{"too many bytes", headOf(100<<10, "Name: "+strings.Repeat("x", 1000)+"\r\n"), nil, 431},
	} {
		_, address := serve(t, defaults(), tt.memory)
		if got := status(dial(t, address, tt.request)); got != tt.want {
			t.Errorf("%s: got status %d, want %d", tt.name, got, tt.want)
		}
		if used := full.Used(); used != 0 {
			waitFor(t, "memory of the head is released", func() bool { return full.Used() == 0 })
		}
	}
}

// waitFor waits until condition holds, for at most a minute.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited for a minute in vain: %s", what)
		}
	}
}

// Guards against clients that hold a connection without progress: a head that is not
// completed, a body that does not come, a connection that stays idle.
func TestStalledClients(t *testing.T) {
	const short = 20 * time.Millisecond
	for _, tt := range []struct {
		name, request string
		limit         func(l *Limits)
		want          []int // 0 means that the connection is closed without a response
	}{
		{"nothing sent", "", func(l *Limits) { l.HeadTimeout = short }, []int{0}},
		{"incomplete head", "GET / HTTP/1.1\r\nHost:", func(l *Limits) { l.HeadTimeout = short }, []int{0, 408}},
		{"incomplete body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", func(l *Limits) { l.BodyStall = short }, []int{408}},
		{"idle", headOf(100, "a:\n"), func(l *Limits) { l.IdleTimeout = short }, []int{200}},
	} {
		l := defaults()
		tt.limit(&l)
		g, address := serve(t, l, nil)
		if got := status(dial(t, address, tt.request)); !slices.Contains(tt.want, got) {
			t.Errorf("%s: got status %d, want one of %v", tt.name, got, tt.want)
		}
		waitFor(t, "connection is closed", func() bool { return g.Open() == 0 })
	}
}

// Guards against a client that takes nothing of its response and keeps the connection, and
// against one that is cut although it has taken something since the last deadline.
func TestUnreadResponse(t *testing.T) {
	const taken = minWriteProgress + 1
	server, client := net.Pipe()
	defer client.Close()
	l := Limits{WriteStall: 500 * time.Millisecond}
	g := New(Config{Limits: func() Limits { return l }})
	c := g.admit(server, opaque)
	go func() {
		_, _ = io.ReadFull(client, make([]byte, taken)) // progress, after which nothing is read
	}()
	start := time.Now()
	n, err := c.Write(make([]byte, 2*taken))
	if !errors.Is(err, os.ErrDeadlineExceeded) || n != taken {
		t.Errorf("wrote %d bytes with error %v, want %d bytes and a timeout", n, err, taken)
	}
	if waited := time.Since(start); waited < l.WriteStall*3/2 {
		t.Errorf("the client was cut after %v, want another %v after it had taken something", waited, l.WriteStall)
	}
}

// Guards against an ordinary connection that is closed while others that bring less are
// kept, and against a request at work that is cut.
func TestVictim(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type member struct {
		phase    phase
		age      time.Duration
		served   bool
		received int64
	}
	for _, tt := range []struct {
		name    string
		members []member
		want    int // index, or -1 if the newcomer is refused
		reason  Reason
	}{
		{"no request for long", []member{{idle, time.Hour, true, 0}, {reading, 2 * time.Second, false, 0}}, 1, SlowHead},
		{"newcomer is spared", []member{{reading, time.Millisecond, false, 0}, {idle, time.Second, true, 0}}, 1, LongestIdle},
		{"longest idle", []member{{idle, 2 * time.Second, true, 0}, {idle, time.Second, true, 0}}, 0, LongestIdle},
		{"slowest body", []member{{receiving, 4 * time.Second, true, 4000}, {receiving, 2 * time.Second, true, 10}, {working, time.Hour, true, 0}}, 1, SlowBody},
		{"newcomers only", []member{{reading, 2 * time.Millisecond, false, 0}, {reading, time.Millisecond, false, 0}}, 0, SlowHead},
		{"requests at work", []member{{working, time.Hour, true, 0}, {receiving, time.Millisecond, true, 0}}, -1, ""},
	} {
		g := New(Config{Limits: defaults})
		var conns []*conn
		for _, m := range tt.members {
			c := &conn{group: g, since: start.Add(-m.age), served: m.served}
			c.received.Store(m.received)
			g.queues[m.phase].add(c)
			conns = append(conns, c)
		}
		got, reason := g.victim(start)
		var want *conn
		if tt.want >= 0 {
			want = conns[tt.want]
		}
		if got != want || reason != tt.reason {
			t.Errorf("%s: got another connection or reason %q, want number %d and %q", tt.name, reason, tt.want, tt.reason)
		}
	}
}

// Guards against connections beyond the limit, and against a new client that gets no
// connection because of idle ones.
func TestConnectionsAreBounded(t *testing.T) {
	l := defaults()
	l.Connections = 4
	g, address := serve(t, l, nil)
	for range 20 {
		if got := status(dial(t, address, headOf(100, "a:\n"))); got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
		if open := g.Open(); open > l.Connections {
			t.Errorf("%d connections are open, want at most %d", open, l.Connections)
		}
		waitFor(t, "connection is idle", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.queues[working].first == nil
		})
	}
}

// Guards against requests over TLS that are not served or not bounded, and against idle
// connections over TLS that take the room of new ones.
func TestTLS(t *testing.T) {
	certificates := httptest.NewTLSServer(nil)
	defer certificates.Close()
	inner, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: certificates.TLS.Certificates})
	if err != nil {
		t.Fatal(err)
	}
	l := defaults()
	l.Connections = 2
	g := New(Config{Limits: func() Limits { return l }})
	s := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = g.Serve(s, inner) }() // returns after Close
	defer s.Close()
	ordinary, odd := headOf(500, "a: b\r\n"), headOf(40<<10, "a:\n")
	for _, tt := range []struct {
		request string
		want    int
	}{{ordinary, 404}, {odd, 431}, {ordinary, 404}, {ordinary, 404}, {ordinary, 404}} {
		c := tls.Client(dial(t, inner.Addr().String(), ""), &tls.Config{InsecureSkipVerify: true})
		_, _ = io.WriteString(c, tt.request) // the server may close the connection meanwhile
		if got := status(c); got != tt.want {
			t.Errorf("head of %d bytes: got status %d, want %d", len(tt.request), got, tt.want)
		}
		waitFor(t, "no request is at work", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.queues[working].first == nil && g.queues[receiving].first == nil
		})
	}
}

// Guards against log lines that grow with an attack.
func TestLogDoesNotGrow(t *testing.T) {
	core, lines := observer.New(zapcore.WarnLevel)
	now := time.Unix(1_800_000_000, 0)
	r, err := NewReport(ReportConfig{Registerer: prometheus.NewRegistry(), Log: zap.New(core), Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		r.count("clients", SlowHead)
	}
	now = now.Add(logInterval)
	r.count("clients", SlowHead)
	if got := lines.Len(); got != 2 {
		t.Fatalf("%d lines, want 2", got)
	}
	if got := lines.All()[1].ContextMap()["count"]; got != int64(1000) {
		t.Errorf("the second line counts %v, want 1000", got)
	}
}

// Guards against a head whose size depends on the pieces in which it comes, and against
// one that is not counted.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\na:\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var whole, parts head
		whole.add(data)
		piece = 1 + (piece&0x7fff)%(len(data)+1)
		for rest := data; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			parts.add(rest[:min(piece, len(rest))])
		}
		if whole != parts || whole.cost() < int64(len(data)) {
			t.Errorf("%q: counted %+v, in pieces of %d %+v", data, whole, piece, parts)
		}
	})
}

// Guards against input that ends the process, leaves memory held or a connection counted:
// heads, chunks and trailers of any form, as net/http reads them through a Group.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nz\r\n0\r\nt: u\r\n\r\nGET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\n"))
	f.Add([]byte(headOf(40<<10, "a:\n")))
	memory := limit.NewMemory(limit.MemoryConfig{Bytes: 64 << 10})
	g, address := serve(f, defaults(), memory)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := dial(t, address, string(data))
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // an error means that the server closed the connection
		_ = c.Close()
		waitFor(t, "connection and memory are released", func() bool { return g.Open() == 0 && memory.Used() == 0 })
	})
}

// BenchmarkRequest measures a request over an open connection, with and without a Group.
func BenchmarkRequest(b *testing.B) {
	run := func(b *testing.B, address string) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		reader := bufio.NewReader(c)
		request := headOf(600, "Name: value\r\n")
		b.ReportAllocs()
		for b.Loop() {
			if _, err := io.WriteString(c, request); err != nil {
				b.Fatal(err)
			}
			r, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	b.Run("group", func(b *testing.B) {
		_, address := serve(b, defaults(), limit.NewMemory(limit.MemoryConfig{Bytes: 1 << 20}))
		run(b, address)
	})
	b.Run("plain", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, n)
		})}
		go func() { _ = s.Serve(l) }() // returns after Close
		defer s.Close()
		run(b, l.Addr().String())
	})
}
