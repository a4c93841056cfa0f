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
	// meterPeriod is the time between readings, and the time limit of a request
	// to an engine.
	meterPeriod = time.Second
	// maxMeterCalls limits the number of concurrent requests to engines.
	maxMeterCalls = 16
)

// meter sums the cost of backend servers (price per hour times hours in the
// instance list) and the tokens of engine fakes during a run. Without an instance
// list, all its values are 0.
type meter struct {
	instanceClient *instances.Client
	httpClient     *http.Client

	mu sync.Mutex
	// chargedAt is the time up to which cost is computed.
	chargedAt time.Time
	// hourlyPrice is the price per hour of all backend servers in the instance
	// list.
	hourlyPrice float64
	cost        float64
	// baseline and latest hold the first and the latest totals of engines by
	// address and incarnation.
	baseline, latest map[string]engine.Totals
}

func newMeter(instanceClient *instances.Client) *meter {
	return &meter{
		instanceClient: instanceClient,
		httpClient:     &http.Client{Timeout: meterPeriod, Transport: &http.Transport{}},
		baseline:       make(map[string]engine.Totals),
		latest:         make(map[string]engine.Totals),
	}
}

// watch takes a reading in each period until ctx ends. Tokens that an engine
// counts between its last reading and its termination are lost.
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

// read takes one reading. If the instance list cannot be read, the previous
// price applies until the next successful reading.
func (m *meter) read(ctx context.Context) {
	if m.instanceClient == nil {
		return
	}
	all, err := m.instanceClient.List(ctx)
	if err != nil {
		return
	}
	m.addCost(time.Now(), all)
	var g errgroup.Group
	g.SetLimit(maxMeterCalls)
	for _, i := range all {
		if i.Role == instances.RoleBackend && i.Kind != instances.KindService {
			g.Go(func() error { m.readEngine(ctx, i.Address); return nil })
		}
	}
	_ = g.Wait()
}

// addCost adds the cost since the previous call and sets the price from now on.
func (m *meter) addCost(now time.Time, all []instances.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.chargedAt.IsZero() {
		m.cost += m.hourlyPrice * now.Sub(m.chargedAt).Hours()
	}
	m.chargedAt, m.hourlyPrice = now, 0
	for _, i := range all {
		if i.Role == instances.RoleBackend {
			m.hourlyPrice += i.Price
		}
	}
}

func (m *meter) readEngine(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/totals", nil)
	if err != nil {
		return
	}
	resp, err := m.httpClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var t engine.Totals
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&t) != nil {
		return
	}
	m.setLatest(address+"/"+t.Incarnation, t)
}

func (m *meter) setLatest(key string, t engine.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest[key] = t
}

// readBaseline takes the first reading, which is subtracted from later totals.
func (m *meter) readBaseline(ctx context.Context) {
	m.read(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, t := range m.latest {
		m.baseline[key] = t
	}
}

// totals returns the cost and the engine totals since the first reading.
func (m *meter) totals() (cost float64, t engine.Totals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, latest := range m.latest {
		baseline := m.baseline[key]
		t.Ran += latest.Ran - baseline.Ran
		t.Prompt += latest.Prompt - baseline.Prompt
		t.Cached += latest.Cached - baseline.Cached
		t.Recomputed += latest.Recomputed - baseline.Recomputed
		t.Generated += latest.Generated - baseline.Generated
	}
	return m.cost, t
}
