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
	// maxCountedKeys bounds the number of keys whose runs are counted.
	maxCountedKeys = 1 << 20
	// crashStatus is the exit status of the process when a request crashes it.
	crashStatus = 3
)

// Config configures a Server.
type Config struct {
	// Slots is the number of requests that run concurrently; further requests
	// are rejected. The default is 64.
	Slots int
	// Delay is the duration of a run.
	Delay time.Duration
	// OnRun, if not nil, is called with the idempotency key at the start of
	// each run.
	OnRun func(key string)
	// Exit ends the process on a request that the fault CrashOn matches (a
	// poison request); the default exits with status 3. If it returns, only the
	// request's connection breaks.
	Exit func()
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Wait returns after d or when ctx ends; the default uses a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// Server is a fake plain service; it implements http.Handler.
type Server struct {
	config       Config
	faults       *fault.Backend
	leaving      chan struct{}
	closeLeaving func()

	mu      sync.Mutex
	running int
	runs    map[string]int
}

// New returns a Server.
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
		config:  config,
		faults:  fault.NewBackend(config.Now),
		leaving: make(chan struct{}),
		runs:    make(map[string]int),
	}
	s.closeLeaving = sync.OnceFunc(func() { close(s.leaving) })
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
// fake; all other requests are requests to the service.
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

// Runs returns the number of runs by idempotency key. A run is counted at its
// start, whether or not it is answered.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Inject applies a fault of a kind that package fault defines.
func (s *Server) Inject(f fault.Fault) error {
	if err := s.faults.Inject(f); err != nil {
		return err
	}
	if s.faults.Leaving() {
		s.closeLeaving()
	}
	return nil
}

// Clear removes all faults.
func (s *Server) Clear() {
	s.faults.Clear()
}

// Leave makes the server reject new work while it finishes running work.
func (s *Server) Leave() {
	// The fault is valid, because the kind is known and needs no value.
	_ = s.Inject(fault.Fault{Kind: fault.Leave})
}

// Leaving returns a channel that is closed when the server first starts to reject
// new work.
func (s *Server) Leaving() <-chan struct{} {
	return s.leaving
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, "invalid body: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt", r.Header.Get("Attempt"))
	if s.faults.Leaving() {
		reject(w, "leaving")
		return
	}
	key := r.Header.Get("Idempotency-Key")
	utilization, ok := s.startRun(key)
	if !ok {
		reject(w, "overloaded")
		return
	}
	defer s.endRun()
	if s.config.OnRun != nil {
		s.config.OnRun(key)
	}
	s.run(w, r, key, body, utilization)
}

func reject(w http.ResponseWriter, reason string) {
	w.Header().Set("Not-Run", reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// startRun takes a slot and counts a run. It returns the fraction of slots in
// use, and false if no slot is free.
func (s *Server) startRun(key string) (utilization float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.config.Slots {
		return 1, false
	}
	s.running++
	if _, known := s.runs[key]; key != "" && (known || len(s.runs) < maxCountedKeys) {
		s.runs[key]++
	}
	return float64(s.running) / float64(s.config.Slots), true
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, key string, body []byte, utilization float64) {
	if s.faults.IsPoison("", func(v string) bool { return bytes.Contains(body, []byte(v)) }) {
		s.config.Exit()
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt")
	if s.faults.ShouldFail(fault.Attempt{
		ID:          attempt,
		Utilization: utilization,
		OnRoute:     func(route string) bool { return strings.HasPrefix(r.URL.Path, route) },
	}) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	delay := time.Duration(float64(s.config.Delay) * s.faults.DelayFactor(""))
	if s.config.Wait(r.Context(), delay) != nil || s.faults.AwaitStall(r.Context(), "", 0) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer.ServiceBody(r.Method, r.URL.Path, key, body))
}
