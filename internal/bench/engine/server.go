package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/delayed"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

const (
	// bodyLimit allows a prompt of 1 MiB in which JSON escapes each byte.
	bodyLimit = 8 << 20
	// maxKVCaches is the maximum number of exportable KV caches, and of
	// imported ones.
	maxKVCaches = 1024
	maxVersions = 64
)

var errCrashed = errors.New("process crashed")

// Load is a load report.
type Load struct {
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	Capacity int      `json:"capacity"`
	Versions []string `json:"versions"`
	State    string   `json:"state"`
	Crashes  int      `json:"crashes"`
	// Incarnation changes when the process restarts.
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// State is the target state that accepted commands set, and the versions loaded
// so far.
type State struct {
	Fence    int64    `json:"fence"`
	Versions []string `json:"versions"`
	// Ready are the loaded versions.
	Ready []string `json:"ready"`
	Role  string   `json:"role"`
	// State is "leaving" while the fault Leave is active, otherwise "live".
	State string `json:"state"`
}

// Server is a fake model engine; it implements http.Handler.
type Server struct {
	config       Config
	faults       *fault.Backend
	mux          *http.ServeMux
	scheduler    *scheduler
	cache        *cache
	runs         runLog
	leaving      chan struct{}
	closeLeaving func()

	mu          sync.Mutex
	attempts    map[string]*attempt
	exports     boundedMap[kvCache]
	imports     boundedMap[kvCache]
	fence       int64
	role        string
	versions    []string
	readyAt     map[string]time.Time
	load        delayed.Value[Load]
	crashes     int
	incarnation string
}

// New returns a Server.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:   config,
		faults:   fault.NewBackend(config.Now),
		cache:    newCache(config.CacheBlocks, config.DropEveryNthEvent, config.Now),
		leaving:  make(chan struct{}),
		attempts: make(map[string]*attempt),
		exports:  boundedMap[kvCache]{limit: maxKVCaches},
		imports:  boundedMap[kvCache]{limit: maxKVCaches},
		versions: slices.Clone(config.Versions),
		readyAt:  make(map[string]time.Time),
		load:     delayed.Value[Load]{Lag: config.LoadLag},
		crashes:  config.Crashes,
	}
	s.incarnation = s.newIncarnation()
	s.closeLeaving = sync.OnceFunc(func() { close(s.leaving) })
	s.scheduler = &scheduler{slots: config.Slots, queueLimit: config.Queue, onChange: s.recordLoad}
	s.recordLoad(0, 0)
	s.mux = s.routes()
	return s
}

// newIncarnation returns an identifier of the process, made of the current time
// and the crash count.
func (s *Server) newIncarnation() string {
	return strconv.FormatInt(s.config.Now().UnixNano(), 36) + "-" + strconv.Itoa(s.crashes)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Leaving returns a channel that is closed when the server first starts to reject
// new work.
func (s *Server) Leaving() <-chan struct{} {
	return s.leaving
}

// Runs returns the log of the attempts received so far.
func (s *Server) Runs() []Run {
	return s.runs.all()
}

// Totals returns the counts of the attempts that ran so far and of their tokens.
func (s *Server) Totals() Totals {
	t := s.runs.totals()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Incarnation = s.incarnation
	return t
}

func (s *Server) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /generate", s.generate)
	m.HandleFunc("DELETE /generate/{attempt}", s.cancel)
	m.HandleFunc("GET /kv-cache/{attempt}", s.exportCache)
	m.HandleFunc("PUT /kv-cache/{attempt}", s.importCache)
	m.HandleFunc("GET /load", s.serveLoad)
	m.HandleFunc("GET /cache-events", s.serveEvents)
	m.HandleFunc("PUT /state", s.serveCommand)
	m.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.State()) })
	m.HandleFunc("POST /faults", fault.Handler(s.Inject))
	m.HandleFunc("GET /totals", func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Totals()) })
	m.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, struct {
			Runs []Run `json:"runs"`
		}{s.Runs()})
	})
	return m
}

// recordLoad records the load, which becomes visible after Config.LoadLag.
func (s *Server) recordLoad(running, queued int) {
	state := s.state()
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.Set(now, Load{
		Running:     running,
		Queued:      queued,
		Capacity:    s.config.Slots,
		Versions:    s.readyVersions(now),
		State:       state,
		Crashes:     s.crashes,
		Incarnation: s.incarnation,
		At:          now,
	})
}

func (s *Server) state() string {
	if s.faults.Leaving() {
		return "leaving"
	}
	return "live"
}

// readyVersions returns the loaded versions; the caller holds s.mu.
func (s *Server) readyVersions(now time.Time) []string {
	out := []string{}
	for _, v := range s.versions {
		if !now.Before(s.readyAt[v]) {
			out = append(out, v)
		}
	}
	return out
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := s.config.Now()
	s.mu.Lock()
	l := s.load.Get(now)
	s.mu.Unlock()
	// The load has not changed since l.At, so it is still valid for the time
	// LoadLag ago.
	if cutoff := now.Add(-s.config.LoadLag); l.At.Before(cutoff) {
		l.At = cutoff
		s.mu.Lock()
		l.Versions = s.readyVersions(cutoff)
		s.mu.Unlock()
	}
	respond(w, l)
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	events, next := s.cache.eventsSince(after, s.config.EventLag)
	respond(w, struct {
		Next   int64   `json:"next"`
		Events []Event `json:"events"`
	}{next, events})
}

// State returns the engine's state.
func (s *Server) State() State {
	state := s.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Fence:    s.fence,
		Versions: append([]string{}, s.versions...),
		Ready:    s.readyVersions(s.config.Now()),
		Role:     s.role,
		State:    state,
	}
}

func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Fence    int64    `json:"fence"`
		Versions []string `json:"versions"`
		Role     string   `json:"role"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&c); err != nil {
		http.Error(w, "invalid command: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(c.Versions) > maxVersions {
		http.Error(w, "too many versions", http.StatusBadRequest)
		return
	}
	if !s.apply(c.Fence, c.Versions, c.Role) {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	s.recordLoad(s.scheduler.load())
	respond(w, s.State())
}

// apply sets the target state and returns false if it rejects a stale fencing
// token. A nil list or an empty role leaves the current value unchanged.
func (s *Server) apply(fence int64, versions []string, role string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFence && fence < s.fence {
		return false
	}
	s.fence = max(s.fence, fence)
	if role != "" {
		s.role = role
	}
	if versions == nil {
		return true
	}
	readyAt := make(map[string]time.Time, len(versions))
	for _, v := range versions {
		if slices.Contains(s.versions, v) {
			readyAt[v] = s.readyAt[v]
		} else {
			readyAt[v] = s.config.Now().Add(s.config.VersionDelay)
		}
	}
	s.versions, s.readyAt = slices.Clone(versions), readyAt
	return true
}

// serves reports whether the engine accepts requests for an entry and a
// version.
func (s *Server) serves(entry, version string) bool {
	if s.config.Entry != "" && entry != "" && entry != s.config.Entry {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == "" || (len(s.versions) == 0 && len(s.config.Versions) == 0) {
		return true
	}
	return slices.Contains(s.readyVersions(s.config.Now()), version)
}

// crash ends the process. If Exit returns, crash simulates a restart: it clears
// the caches and breaks the connections of all attempts.
func (s *Server) crash() {
	s.config.Exit()
	s.cache.clear()
	s.mu.Lock()
	s.crashes++
	s.incarnation = s.newIncarnation()
	s.exports.clear()
	s.imports.clear()
	cancels := make([]context.CancelCauseFunc, 0, len(s.attempts))
	for _, a := range s.attempts {
		cancels = append(cancels, a.cancel)
	}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel(errCrashed)
	}
	s.recordLoad(s.scheduler.load())
}

func respond(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
