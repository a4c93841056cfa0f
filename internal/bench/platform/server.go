package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wasabiworks.example/wasabiworks/internal/bench/delayed"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// Fault kinds. The target of Outage, Slow and LostResponse is a prefix of
// "SERVICE/KEY", where SERVICE is the service that is called ("kv", "instances",
// "notices", "cloud" or "weights") and KEY is the key of a call of the key-value
// service: "kv/journal/" matches the keys that begin with "journal/". An empty
// target matches all calls.
const (
	// Outage rejects calls with status 503.
	Outage = "outage"
	// Slow delays calls by Config.SlowDelay.
	Slow = "slow"
	// LostResponse executes writes, but closes their connections without a
	// response.
	LostResponse = "lost-answer"
	// EndLeases ends all current leases.
	EndLeases = "lapse"
	// RefuseInstances rejects launches of instances; its target is a class, a
	// failure domain or empty for all.
	RefuseInstances = "refuse-instances"
	// Reclaim announces the reclaim of its target, which is required: an
	// instance or the reclaimable instances of a failure domain. Until is the
	// notice's deadline; the default is 30 s after the injection.
	Reclaim = "reclaim"
)

const (
	// maxBodyBytes bounds the body of a call: a value of 1 MiB in base64 and
	// the JSON around it.
	maxBodyBytes = 2 << 20
	// defaultPollTimeout is how long a poll waits for a change.
	defaultPollTimeout = 25 * time.Second
	defaultSlowDelay   = 2 * time.Second
	// noticePeriod is the time between a notice and the reclaim.
	noticePeriod = 30 * time.Second
)

// Config configures a Server. Its zero value is a platform without limits.
type Config struct {
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// ListLag is the time until a change shows in the instance list.
	ListLag time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls to the key-value
	// service, leases and watches included; 0 is no limit.
	WritesPerSecond, ReadsPerSecond float64
	// PollTimeout is how long a poll waits for a change; the default is 25 s.
	PollTimeout time.Duration
	// SlowDelay is the delay of a call under the fault Slow; the default is
	// 2 s.
	SlowDelay time.Duration
	// WeightBytes is the size of a version's weights.
	WeightBytes int
	// WeightBytesPerSecond limits the weight store; 0 is no limit.
	WeightBytesPerSecond float64
	// Launch, if not nil, is called for each instance that is launched.
	Launch func(id string, l cloud.LaunchRequest)
}

// Server is a fake of the platform API; it implements http.Handler.
type Server struct {
	config        Config
	faults        *fault.Set
	mux           *http.ServeMux
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
	weightLimiter *rate.Limiter
	closed        chan struct{}
	close         func()

	store            *metastore.Store
	mu               sync.Mutex
	calls            map[string]int
	registered       map[string]instances.Instance
	reclaimDeadlines map[string]time.Time
	listing          delayed.Value[listing]
	notices          []cloud.Notice
	launchCount      int
	// changed is closed and replaced when there are new notices.
	changed chan struct{}
}

// New returns a Server; Close ends its pending calls.
func New(config Config) *Server {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.PollTimeout <= 0 {
		config.PollTimeout = defaultPollTimeout
	}
	if config.SlowDelay <= 0 {
		config.SlowDelay = defaultSlowDelay
	}
	s := &Server{
		config:           config,
		writeLimiter:     newLimiter(config.WritesPerSecond),
		readLimiter:      newLimiter(config.ReadsPerSecond),
		weightLimiter:    newLimiter(config.WeightBytesPerSecond),
		closed:           make(chan struct{}),
		calls:            make(map[string]int),
		store:            metastore.NewWithClock(config.Now),
		registered:       make(map[string]instances.Instance),
		reclaimDeadlines: make(map[string]time.Time),
		listing:          delayed.Value[listing]{Lag: config.ListLag},
		changed:          make(chan struct{}),
	}
	s.close = sync.OnceFunc(func() { close(s.closed) })
	s.faults = fault.NewSet(config.Now, fault.AllowKinds(Outage, Slow, LostResponse, EndLeases, RefuseInstances, Reclaim))
	s.mux = s.routes()
	return s
}

// newLimiter returns a limiter with the given rate. Its burst is a tenth of the
// events per second, at least 1. A rate of 0 or less is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends pending calls, so that an HTTP server can shut down.
func (s *Server) Close() {
	s.close()
}

// Inject applies a fault. EndLeases and Reclaim take effect at once and are not
// kept as active faults.
func (s *Server) Inject(f fault.Fault) error {
	if f.Kind == EndLeases {
		s.store.EndLeases()
		return nil
	}
	if f.Kind == Reclaim {
		return s.reclaim(f.Target, f.Until)
	}
	return s.faults.Inject(f)
}

// Clear removes all active faults; announced reclaims still take place.
func (s *Server) Clear() {
	s.faults.Clear()
}

// Calls returns the number of calls so far by kind. Calls over the rate limit
// are also counted as "rate-limited".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *Server) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /-/kv-key", s.handleCall("kv-get", "kv", false, s.store.ServeHTTP))
	m.HandleFunc("GET /-/kv-range", s.handleCall("kv-list", "kv", false, s.store.ServeHTTP))
	m.HandleFunc("GET /-/kv-watch", s.handleCall("watch", "kv", false, s.watch))
	m.HandleFunc("POST /-/kv-txn", s.handleCall("kv-put", "kv", true, s.store.ServeHTTP))
	m.HandleFunc("POST /-/kv-lease", s.handleCall("lease-grant", "kv", true, s.store.ServeHTTP))
	m.HandleFunc("POST /-/kv-keep/{id}", s.handleCall("lease-renew", "kv", true, s.store.ServeHTTP))
	m.HandleFunc("DELETE /-/kv-lease-end/{id}", s.handleCall("lease-end", "kv", true, s.store.ServeHTTP))
	m.HandleFunc("GET /instances", s.handleCall("instances-get", "instances", false, s.listInstances))
	m.HandleFunc("PUT /instances/{id}", s.handleCall("instances-put", "instances", true, s.registerInstance))
	m.HandleFunc("DELETE /instances/{id}", s.handleCall("instances-delete", "instances", true, s.deregisterInstance))
	m.HandleFunc("GET /notices", s.handleCall("notices", "notices", false, s.pollNotices))
	m.HandleFunc("POST /cloud/instances", s.handleCall("launch", "cloud", true, s.launchInstance))
	m.HandleFunc("GET /weights/{model}/{version}", s.handleCall("weights", "weights", false, s.serveWeights))
	m.HandleFunc("POST /faults", fault.Handler(s.Inject))
	m.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, s.Calls()) })
	return m
}

// handleCall returns a handler that counts the calls of a kind and applies the
// faults whose target matches the service and the key of the call before it
// calls handle. The rate limits apply only to the key-value service, "kv".
func (s *Server) handleCall(kind, service string, write bool, handle http.HandlerFunc) http.HandlerFunc {
	limiter := s.readLimiter
	if write {
		limiter = s.writeLimiter
	}
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(kind)
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		path := service + "/" + callKey(r, body)
		if s.faultActive(Outage, path) {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if service == "kv" && !limiter.AllowN(s.config.Now(), 1) {
			s.count("rate-limited")
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		if s.faultActive(Slow, path) {
			// The call takes effect after the delay even if the caller has
			// given up.
			s.delay(s.config.SlowDelay)
		}
		if write && s.faultActive(LostResponse, path) {
			handle(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	}
}

// callKey returns the key or key prefix that a call of the key-value service
// names, or "" if it names none. For a commit, callKey returns only the key of
// the first put; faults whose target names the key of another put do not match.
func callKey(r *http.Request, body []byte) string {
	if q := r.URL.Query(); q.Has("key") || q.Has("path_prefix") {
		return q.Get("key") + q.Get("path_prefix")
	}
	var commit struct {
		Puts []struct {
			Key string `json:"key"`
		} `json:"puts"`
	}
	if json.Unmarshal(body, &commit) != nil || len(commit.Puts) == 0 {
		return "" // another call, or a commit without puts
	}
	return commit.Puts[0].Key
}

// watch serves a watch of the store and ends it when an outage begins or the
// server closes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	path := "kv/" + callKey(r, nil)
	go func() {
		for ctx.Err() == nil {
			changed := s.faults.Changed()
			if s.faultActive(Outage, path) {
				cancel()
			}
			select {
			case <-changed:
			case <-s.closed:
				cancel()
			case <-ctx.Done():
			}
		}
	}()
	s.store.ServeHTTP(w, r.WithContext(ctx))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return nil, false
	}
	if len(body) > maxBodyBytes {
		http.Error(w, "body is larger than 2 MiB", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

func (s *Server) faultActive(kind, path string) bool {
	_, ok := s.faults.Find(kind, func(f fault.Fault) bool { return strings.HasPrefix(path, f.Target) })
	return ok
}

func (s *Server) delay(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.closed:
	}
}

// poll calls ready at once and after each change until ready returns true or
// the poll timeout has passed. It returns false if the caller disconnects or
// Close is called first, and true otherwise, also if ready has not returned true
// before the timeout.
func (s *Server) poll(r *http.Request, ready func() bool) bool {
	timeout := time.NewTimer(s.config.PollTimeout)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		faultsChanged := s.faults.Changed()
		if ready() {
			return true
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout.C:
			return true
		case <-r.Context().Done():
			return false
		case <-s.closed:
			return false
		}
	}
}

// notify makes waiting polls check again; the caller holds s.mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return make(http.Header) }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
