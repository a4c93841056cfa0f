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
	// checkPeriod is how often entry instances are asked whether they are
	// ready, as the platform's load balancer does.
	checkPeriod  = 200 * time.Millisecond
	checkTimeout = time.Second
	// readyTimeout bounds the wait for the first ready entry instance.
	readyTimeout = 15 * time.Second
	readyPause   = 50 * time.Millisecond
)

var errNotReady = errors.New("no entry instance became ready")

// balancer stands in for the platform's load balancer.
type balancer struct {
	targets atomic.Pointer[[]string]
	turn    atomic.Uint64
	client  *http.Client
	list    *instances.Client

	mu sync.Mutex
	// seen are the addresses of all backend servers that were ever listed,
	// with their kind.
	seen map[string]string
}

func newBalancer(c Config) *balancer {
	b := &balancer{seen: make(map[string]string), client: &http.Client{Timeout: checkTimeout, Transport: &http.Transport{}}}
	b.set(c.Targets)
	if c.Platform != "" {
		b.list = instances.New(instances.Config{Address: c.Platform})
	}
	return b
}

func (b *balancer) set(targets []string) {
	b.targets.Store(&targets)
}

// await waits until an entry instance is ready.
func (b *balancer) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for len(b.next()) == 0 {
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(readyPause):
		}
	}
	return nil
}

// next returns the entry instances in the order in which to try them.
func (b *balancer) next() []string {
	ts := *b.targets.Load()
	if len(ts) == 0 {
		return nil
	}
	i := int(b.turn.Add(1) % uint64(len(ts)))
	return slices.Concat(ts[i:], ts[:i])
}

// watch keeps the targets up to date until ctx ends. Without a platform, the
// configured ones stay.
func (b *balancer) watch(ctx context.Context) {
	if b.list == nil {
		return
	}
	tick := time.NewTicker(checkPeriod)
	defer tick.Stop()
	for {
		if all, err := b.list.List(ctx); err == nil {
			b.see(all)
			b.set(b.ready(ctx, all))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (b *balancer) see(all []instances.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range all {
		if i.Role == instances.RoleBackend {
			b.seen[i.Address] = i.Kind
		}
	}
}

// backends returns the configured backend servers and the listed ones of a
// kind.
func (b *balancer) backends(configured []string, kind string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(configured)
	for a, k := range b.seen {
		if k == kind && !slices.Contains(configured, a) {
			out = append(out, a)
		}
	}
	return out
}

// ready returns the addresses of the entry instances that are ready. One
// without an operations address is taken as ready.
func (b *balancer) ready(ctx context.Context, all []instances.Instance) []string {
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
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	p, err := b.client.Do(r)
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}
