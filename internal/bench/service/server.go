package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

const (
	defaultSlots = 64
	bodyLimit    = 1 << 20
	// keyLimit bounds the keys whose runs are counted.
	keyLimit = 1 << 20
	// crashStatus is the exit status of a process that a request crashed.
	crashStatus = 3
)

// Config configures a Server.
type Config struct {
	// Slots is the number of requests that run at once; more are rejected.
	// The default is 64.
	Slots int
	// Delay is the duration of a run.
	Delay time.Duration
	// Ran is called with the idempotency key at the start of each run, if not
	// nil.
	Ran func(key string)
	// Exit ends the process on a poison request; the default exits with
	// status 3. If it returns, only the request's connection breaks.
	Exit func()
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Wait returns after d or when ctx ends; the default uses a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Server is the fake; it implements http.Handler.
type Server struct {
	config    Config
	faults    *fault.Backend
	left      chan struct{}
	closeLeft func()

	mu      sync.Mutex
	running int
	runs    map[string]int
}

// New returns a server.
func New(config Config) *Server {
	if config.Slots <= 0 {
		config.Slots = defaultSlots
	}
	if config.Exit == nil {
		config.Exit = func() { os.Exit(crashStatus) }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Wait == nil {
		config.Wait = wait
	}
	s := &Server{
		config: config,
		faults: fault.NewBackend(config.Now),
		left:   make(chan struct{}),
		runs:   make(map[string]int),
	}
	s.closeLeft = sync.OnceFunc(func() { close(s.left) })
	return s
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler. GET /runs and POST /faults control the
// fake; any other request is one to the service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/runs":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Runs())
	case r.Method == http.MethodPost && r.URL.Path == "/faults":
		fault.Handler(s.Inject)(w, r)
	default:
		s.serve(w, r)
	}
}

// Runs returns how often requests ran, by idempotency key. A run counts from
// its start, whether or not it is answered.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Inject applies a fault; its kinds are those of package fault.
func (s *Server) Inject(f fault.Fault) error {
	if err := s.faults.Inject(f); err != nil {
		return err
	}
	if s.faults.Leaving() {
		s.closeLeft()
	}
	return nil
}

// Clear ends all faults.
func (s *Server) Clear() {
	s.faults.Clear()
}

// Leave makes the server reject new work while it finishes running work.
func (s *Server) Leave() {
	// There is no error, because the kind is known and needs no value.
	_ = s.Inject(fault.Fault{Kind: fault.Leave})
}

// Left is closed when the server first starts to reject new work.
func (s *Server) Left() <-chan struct{} {
	return s.left
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, "invalid body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if s.faults.Leaving() {
		reject(w, "leaving")
		return
	}
	key := r.Header.Get("Idempotency-Key")
	busy, ok := s.begin(key)
	if !ok {
		reject(w, "overloaded")
		return
	}
	defer s.end()
	if s.config.Ran != nil {
		s.config.Ran(key)
	}
	s.run(w, r, key, body, busy)
}

func reject(w http.ResponseWriter, reason string) {
	w.Header().Set("Not-Run", reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// begin takes a slot and counts a run. It returns the share of busy slots.
func (s *Server) begin(key string) (busy float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Slots {
		return 1, false
	}
	s.running++
	if _, known := s.runs[key]; key != "" && (known || len(s.runs) < keyLimit) {
		s.runs[key]++
	}
	return float64(s.running) / float64(s.config.Slots), true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, key string, body []byte, busy float64) {
	if s.faults.Poison("", func(v string) bool { return bytes.Contains(body, []byte(v)) }) {
		s.config.Exit()
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt")
	if s.faults.Fails(fault.Running{
		Attempt: attempt,
		Busy:    busy,
		OnRoute: func(route string) bool { return strings.HasPrefix(r.URL.Path, route) },
	}) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	delay := time.Duration(float64(s.config.Delay) * s.faults.Slowness(""))
	if s.config.Wait(r.Context(), delay) != nil || s.faults.AwaitStall(r.Context(), "", 0) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Attempt", attempt)
	_, _ = w.Write(answer.Service(r.Method, r.URL.Path, key, body))
}
