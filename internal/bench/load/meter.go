package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	meterPeriod = time.Second
	// meterCalls bounds the engines that are asked at once.
	meterCalls = 16
)

// meter adds up the price of backend servers and the tokens of engine fakes
// during a run. Without an instance list it stays at 0.
type meter struct {
	list   *instances.Client
	client *http.Client

	mu   sync.Mutex
	last time.Time
	// rate is the price per hour of all listed backend servers.
	rate float64
	cost float64
	// first and latest hold the totals by address and incarnation.
	first, latest map[string]engine.Totals
}

func newMeter(list *instances.Client) *meter {
	return &meter{
		list:   list,
		client: &http.Client{Timeout: meterPeriod, Transport: &http.Transport{}},
		first:  make(map[string]engine.Totals),
		latest: make(map[string]engine.Totals),
	}
}

// watch reads the meters until ctx ends. Tokens that an engine counted after
// the last reading before its end are lost.
func (m *meter) watch(ctx context.Context) {
	tick := time.NewTicker(meterPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.read(ctx)
		}
	}
}

// read takes one reading. Without a list, the last price goes on.
func (m *meter) read(ctx context.Context) {
	if m.list == nil {
		return
	}
	all, err := m.list.List(ctx)
	if err != nil {
		return
	}
	m.charge(time.Now(), all)
	var g errgroup.Group
	g.SetLimit(meterCalls)
	for _, i := range all {
		if i.Role == instances.RoleBackend && i.Kind != instances.KindService {
			g.Go(func() error { m.readEngine(ctx, i.Address); return nil })
		}
	}
	_ = g.Wait()
}

func (m *meter) charge(now time.Time, all []instances.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.last.IsZero() {
		m.cost += m.rate * now.Sub(m.last).Hours()
	}
	m.last, m.rate = now, 0
	for _, i := range all {
		if i.Role == instances.RoleBackend {
			m.rate += i.Price
		}
	}
}

func (m *meter) readEngine(ctx context.Context, address string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/totals", nil)
	if err != nil {
		return
	}
	p, err := m.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = p.Body.Close() }()
	var t engine.Totals
	if json.NewDecoder(io.LimitReader(p.Body, 1<<16)).Decode(&t) != nil {
		return
	}
	m.set(address+"/"+t.Incarnation, t)
}

func (m *meter) set(key string, t engine.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest[key] = t
}

// begin takes the first reading, from which the engines are counted.
func (m *meter) begin(ctx context.Context) {
	m.read(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, t := range m.latest {
		m.first[key] = t
	}
}

// sum returns the price and the tokens since the first reading.
func (m *meter) sum() (cost float64, t engine.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, l := range m.latest {
		f := m.first[key]
		t.Ran += l.Ran - f.Ran
		t.Prompt += l.Prompt - f.Prompt
		t.Cached += l.Cached - f.Cached
		t.Recomputed += l.Recomputed - f.Recomputed
		t.Generated += l.Generated - f.Generated
	}
	return m.cost, t
}
