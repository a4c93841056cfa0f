package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/reach"
)

const (
	// reachPeriod is the time between two checks of whether the servers are silent.
	reachPeriod = 100 * time.Millisecond
	// probeTimeout is the time for a server to accept a connection of a probe.
	probeTimeout = 400 * time.Millisecond
)

// reachability tells whether this instance is partitioned from all servers.
type reachability struct {
	detector reach.Detector
	// probeNow receives a value when servers are to be probed.
	probeNow chan struct{}

	mu sync.Mutex
	// begun ends when a partition begins; there is a new one once it has ended.
	begun context.Context
	begin context.CancelFunc
	// partitions is the number of partitions that have begun.
	partitions atomic.Int64
}

func (r *reachability) init() {
	r.probeNow = make(chan struct{}, 1)
	r.begun, r.begin = context.WithCancel(context.Background())
}

// requestProbe lets WatchReach probe servers soon.
func (r *reachability) requestProbe() {
	select {
	case r.probeNow <- struct{}{}:
	default:
	}
}

// partitionBegun returns a context that ends when the instance is partitioned.
func (r *reachability) partitionBegun() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun
}

// Partitioned reports whether this instance reaches no server, so that it sends requests
// through others.
func (h *Handler) Partitioned() bool { return h.reach.detector.Partitioned() }

// WatchReach finds out whether this instance reaches the servers, until ctx ends.
func (h *Handler) WatchReach(ctx context.Context) {
	ticker := time.NewTicker(reachPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.reach.probeNow:
			h.probe(ctx)
		case <-ticker.C:
			h.reach.detector.Received(h.config.Pool.LastReceived())
			since, waiting := h.config.Pool.BusySince()
			if h.Partitioned() || waiting && h.reach.detector.Waiting(since, h.config.Now()) {
				h.probe(ctx)
			}
		}
	}
}

// probe connects to some servers, unless it has just done so, and sends requests directly or
// through other instances from then on.
func (h *Handler) probe(ctx context.Context) {
	if !h.reach.detector.BeginProbe(h.config.Now()) {
		return
	}
	probed, connected := h.connectToServers(ctx)
	if ctx.Err() != nil {
		probed = 0
	}
	if !h.reach.detector.EndProbe(probed, connected, h.config.Now()) {
		return
	}
	if h.Partitioned() {
		h.beginPartition(probed)
		return
	}
	h.endPartition(probed, connected)
}

// beginPartition ends the attempts that wait for connections and moves them to other instances.
func (h *Handler) beginPartition(probed int) {
	h.reach.partitions.Add(1)
	h.config.Log.Warn("no backend server is reachable; requests are sent through other instances", zap.Int("probed", probed), zap.Time("last-received", h.config.Pool.LastReceived()))
	h.config.Pool.ForgetFailures()
	h.reach.mu.Lock()
	h.reach.begin()
	h.reach.mu.Unlock()
	h.StateChanged()
}

func (h *Handler) endPartition(probed, connected int) {
	h.config.Log.Info("backend servers are reachable again", zap.Int("probed", probed), zap.Int("connected", connected))
	h.config.Pool.ForgetFailures()
	h.reach.mu.Lock()
	h.reach.begun, h.reach.begin = context.WithCancel(context.Background())
	h.reach.mu.Unlock()
}

// connectToServers connects to some random servers, and returns how many there were and how many
// accepted.
func (h *Handler) connectToServers(ctx context.Context) (probed, connected int) {
	servers := h.randomServers()
	var accepted atomic.Int64
	var dials sync.WaitGroup
	dialer := net.Dialer{Timeout: probeTimeout}
	for _, s := range servers {
		dials.Go(func() {
			conn, err := dialer.DialContext(ctx, "tcp", s.Address)
			if err == nil {
				_ = conn.Close() // nothing was sent on it
				accepted.Add(1)
			}
		})
	}
	dials.Wait()
	return len(servers), int(accepted.Load())
}

// randomServers returns some random servers that are usable.
func (h *Handler) randomServers() (servers []*pool.Worker) {
	for _, all := range h.config.Pool.Services() {
		for _, s := range all {
			if s.Usable() {
				servers = append(servers, s)
			}
		}
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(reach.Probes, len(servers))]
}

// suspects reports whether other servers should be preferred to s. While this instance reaches
// none, their silence says nothing.
func (h *Handler) suspects(s *pool.Worker, now time.Time) bool {
	if h.Partitioned() {
		return s.Avoided(now)
	}
	return s.Suspect(now)
}
