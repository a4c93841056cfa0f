package load

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	// readinessPeriod is the time between readiness checks of entry instances,
	// as in the platform's load balancer.
	readinessPeriod  = 200 * time.Millisecond
	readinessTimeout = time.Second
	// firstReadyTimeout limits the wait for the first ready entry instance, and
	// firstReadyPoll is the time between checks during that wait.
	firstReadyTimeout = 15 * time.Second
	firstReadyPoll    = 50 * time.Millisecond
)

// errNotReady means that the instance list contained no ready entry instance
// until firstReadyTimeout had passed or the run was cancelled.
var errNotReady = errors.New("no entry instance of the platform became ready before the time limit or a cancellation")

// balancer selects entry instances like the platform's load balancer: round
// robin among the ready ones.
type balancer struct {
	targets        atomic.Pointer[[]string]
	rotation       atomic.Uint64
	httpClient     *http.Client
	instanceClient *instances.Client

	mu sync.Mutex
	// backendKinds maps the address of each backend server that was ever in
	// the instance list to its kind.
	backendKinds map[string]string
}

func newBalancer(c Config) *balancer {
	b := &balancer{backendKinds: make(map[string]string), httpClient: &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{}}}
	b.setTargets(c.Targets)
	if c.Platform != "" {
		b.instanceClient = instances.New(instances.Config{Address: c.Platform})
	}
	return b
}

func (b *balancer) setTargets(targets []string) {
	b.targets.Store(&targets)
}

// waitReady waits until an entry instance is ready.
func (b *balancer) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstReadyTimeout)
	defer cancel()
	for len(b.attemptOrder()) == 0 {
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(firstReadyPoll):
		}
	}
	return nil
}

// attemptOrder returns the addresses of the entry instances in the order in which
// to try them. Each call starts with the next entry instance (round robin).
func (b *balancer) attemptOrder() []string {
	ts := *b.targets.Load()
	if len(ts) == 0 {
		return nil
	}
	i := int(b.rotation.Add(1) % uint64(len(ts)))
	return slices.Concat(ts[i:], ts[:i])
}

// watch updates the targets from the instance list until ctx ends. Without a
// platform, the configured targets are kept.
func (b *balancer) watch(ctx context.Context) {
	if b.instanceClient == nil {
		return
	}
	tick := time.NewTicker(readinessPeriod)
	defer tick.Stop()
	for {
		if all, err := b.instanceClient.List(ctx); err == nil {
			b.recordBackends(all)
			b.setTargets(b.readyTargets(ctx, all))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// recordBackends stores the kinds of the backend servers in the instance list.
func (b *balancer) recordBackends(all []instances.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range all {
		if i.Role == instances.RoleBackend {
			b.backendKinds[i.Address] = i.Kind
		}
	}
}

// backends returns the addresses of the configured backend servers and of those
// of the given kind that were ever in the instance list.
func (b *balancer) backends(configured []string, kind string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(configured)
	for a, k := range b.backendKinds {
		if k == kind && !slices.Contains(configured, a) {
			out = append(out, a)
		}
	}
	return out
}

// readyTargets returns the addresses of the live entry instances that are ready.
// An entry instance without an operations address is assumed to be ready.
func (b *balancer) readyTargets(ctx context.Context, all []instances.Instance) []string {
	var out []string
	for _, i := range all {
		if i.Role != instances.RoleEntry || i.State != instances.StateLive {
			continue
		}
		if i.OperationsAddress == "" || b.isReady(ctx, i.OperationsAddress) {
			out = append(out, i.Address)
		}
	}
	return out
}

func (b *balancer) isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.httpClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
