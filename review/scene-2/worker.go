package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request at a worker.
type run struct {
	at                       time.Time
	id, entry, worker, path  string
	prefix, tenant, expected string
	body                     []byte
	began                    bool
}

// worker is a stand-in for a worker. It registers itself in the store.
type worker struct {
	world                  *world
	service, zone, address string
	version                string // of its software; v1 if it is empty
	serial                 int
	// serve answers a request that the worker runs. If it returns true, the worker crashes.
	serve func(s *worker, w http.ResponseWriter, r *http.Request, q *run) (crashes bool)
	// arrived is called for each request that arrives; it may be nil.
	arrived func(q *run)
	// down is how long the worker is gone after a crash.
	down time.Duration
	// header is set in all answers.
	header http.Header

	mu      sync.Mutex
	id      string
	born    int64
	life    int
	state   string // ready if it is empty
	conns   map[net.Conn]bool
	server  *http.Server
	crashed bool
}

// workers adds workers that serve registers.
func (w *world) addWorker(s *worker) error {
	s.world = w
	s.serial = len(w.workers) + 1
	if s.header == nil {
		s.header = http.Header{}
	}
	w.workers = append(w.workers, s)
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	s.address = ports[0]
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	s.begin(l)
	return nil
}

// begin begins a lifetime of the worker.
func (s *worker) begin(l net.Listener) {
	s.mu.Lock()
	s.life++
	s.id, s.born, s.crashed = fmt.Sprintf("i-%02d%06x", s.serial, s.life), time.Now().UnixMilli(), false
	conns := map[net.Conn]bool{}
	s.conns = conns
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.register()
}

// entry is the worker's entry in the store.
func (s *worker) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": cmp.Or(s.version, "v1"), "slots": 64, "state": cmp.Or(s.state, "ready"),
		"cold_left_ms": 0, "phase": "mixed", "model_list": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}, "seq": 4, "born": s.born,
	}
}

func (s *worker) register() {
	s.world.store.put("servers/"+s.id, s.entry())
	s.world.logf("worker %s of %s registers", s.id, s.service)
}

// crash ends the process: its channels are reset and its port refuses. It is back after
// some seconds under a new id; the old entry is removed after three intervals of silence.
func (s *worker) crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	id, server := s.id, s.server
	conns := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	s.world.logf("worker %s crashes", id)
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = server.Close()
	for _, c := range conns {
		_ = c.Close()
	}
	time.AfterFunc(3600*time.Millisecond, func() { s.world.store.remove("servers/" + id) })
	time.AfterFunc(s.down, func() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			s.world.logf("worker at %s cannot start again: %v", s.address, err)
			return
		}
		s.begin(l)
	})
}

// stop ends the worker at once, for good.
func (s *worker) stop() {
	s.mu.Lock()
	id, server := s.id, s.server
	s.crashed = true
	s.mu.Unlock()
	s.world.logf("worker %s stops", id)
	s.world.store.remove("servers/" + id)
	_ = server.Close()
}

// drain reports that the worker drains, and ends it after a while.
func (s *worker) drain(after time.Duration) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.register()
	time.AfterFunc(after+time.Second, s.stop)
}

func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	for name, v := range s.header {
		w.Header()[name] = v
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Wasabiworks-Instance-Id", id)
		return
	}
	q := &run{
		at: time.Now(), id: r.Header.Get("X-Wasabiworks-Attempt-Id"), entry: r.Header.Get("X-Entry"), worker: id, path: r.URL.Path,
		prefix: r.Header.Get("X-Wasabiworks-Prefix-Hash"), tenant: r.Header.Get("X-Wasabiworks-Tenant"), expected: r.Header.Get("X-Wasabiworks-Expect-Instance"),
	}
	if q.expected != "" && q.expected != id {
		w.Header().Set("X-Wasabiworks-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.arrived != nil {
		s.arrived(q)
	}
	w.Header().Set("X-Wasabiworks-Attempt-Id", q.id)
	if q.id == "" {
		w.Header().Set("X-Wasabiworks-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q.body = body
	s.world.logf("worker %s of %s gets %s from %s (tenant %q)", id, s.service, q.id, q.entry, q.tenant)
	w.Header().Set("X-Wasabiworks-Server-Seal", "3e1b.07."+q.id)
	if s.serve(s, w, r, q) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
}

// plain answers after some work.
func plain(w http.ResponseWriter, r *http.Request, work time.Duration) {
	if !sleep(r.Context(), work) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, 800))
}

// stream answers with events after reading the prompt.
func stream(w http.ResponseWriter, r *http.Request, read, gap time.Duration, events int) {
	if !sleep(r.Context(), read) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, "..................................................")
		_ = http.NewResponseController(w).Flush()
		if n < events && !sleep(r.Context(), gap) {
			return
		}
	}
}

// sleep waits, and reports false if the channel was closed meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// config is the operator's configuration.
type config struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func (c config) clone() config {
	data, _ := json.Marshal(c)
	var d config
	_ = json.Unmarshal(data, &d)
	return d
}

func newConfig(services ...string) config {
	c := config{Version: 7, Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false})
	}
	return c
}

func (c *config) route(name, prefix, kind, service string, timeoutMs, goalMs, attempts int) {
	c.Routes = append(c.Routes, map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMs, "goal_ms": goalMs, "priority": 1,
		"service": service, "attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "gap_aim_ms": 400,
	})
}

func (c *config) tenant(name string, rate int, keys ...string) {
	c.Tenants = append(c.Tenants, map[string]any{
		"name": name, "api_keys": keys, "priority": 1, "unit": "tokens", "raw_tokens": 200, "rate_per_s": rate, "burst": rate,
	})
}
