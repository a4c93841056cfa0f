package burn

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxSeries bounds the pairs of entry and workspace that are counted by
	// name. At the bound, the history takes 6 MB.
	maxSeries = 1000
	// maxMoves bounds the moves with a gauge; a catalogue has at most one for
	// each entry.
	maxMoves = 1000
	// maxReasons bounds the reasons of rejections that are counted by name;
	// the request path has about 30 error codes.
	maxReasons = 64
	// other is the label of what is over a bound.
	other = "other"
)

// Config configures Metrics.
type Config struct {
	// Registry receives the collectors.
	Registry prometheus.Registerer
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// pair names a series.
type pair struct{ entry, workspace string }

// series counts the requests of one workspace on one entry.
type series struct {
	pair
	results [Limited + 1]atomic.Uint64
}

// view is an immutable set of series.
type view struct {
	byPair map[pair]*series
	list   []*series
}

// MoveShare is the share of the new version in a move.
type MoveShare struct {
	Entry, Move, To string
	// Share is from 0 to 1.
	Share float64
}

// Metrics counts what the request path does. Its methods are safe for
// concurrent use; those of the request path take no lock for known series.
type Metrics struct {
	now    func() time.Time
	series atomic.Pointer[view]
	tokens [len(tokenNames)]atomic.Uint64
	reject atomic.Pointer[map[string]*atomic.Uint64]
	moves  atomic.Pointer[[]MoveShare]

	firstToken, betweenTokens prometheus.Histogram

	mu       sync.Mutex // guards growth of series and reject, and recorder
	recorder *Recorder
}

// New returns metrics that are registered with the registry.
func New(config Config) (*Metrics, error) {
	m := &Metrics{now: config.Now}
	if m.now == nil {
		m.now = time.Now
	}
	m.recorder = NewRecorder(m.now())
	m.series.Store(&view{byPair: make(map[pair]*series)})
	m.moves.Store(&[]MoveShare{})
	m.reject.Store(&map[string]*atomic.Uint64{})
	m.firstToken = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "wasabiworks_first_token_seconds", Help: "Time to the first token of a response.",
		Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.2, 1.5, 2, 3, 5, 10, 30},
	})
	m.betweenTokens = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "wasabiworks_between_tokens_seconds", Help: "Time between two tokens of a response.",
		Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.036, 0.041, 0.05, 0.07, 0.1, 0.2, 0.5, 1, 5},
	})
	for _, c := range []prometheus.Collector{m.firstToken, m.betweenTokens, collector{m}} {
		if err := config.Registry.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Outcome counts one request. An unknown result counts as Failed.
func (m *Metrics) Outcome(entry, workspace string, r Result) {
	if r < Good || r > Limited {
		r = Failed
	}
	s, ok := m.series.Load().byPair[pair{entry, workspace}]
	if !ok {
		s = m.grow(pair{entry, workspace})
	}
	s.results[r].Add(1)
}

// grow adds a series. Names over the bound share one.
func (m *Metrics) grow(p pair) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.series.Load()
	// A label that is not UTF-8 would fail the whole scrape.
	p = pair{strings.ToValidUTF8(p.entry, "?"), strings.ToValidUTF8(p.workspace, "?")}
	if len(old.list) >= maxSeries-1 && old.byPair[p] == nil {
		p = pair{other, other}
	}
	if s, ok := old.byPair[p]; ok {
		return s
	}
	s := &series{pair: p}
	next := &view{byPair: maps.Clone(old.byPair), list: append(slices.Clone(old.list), s)}
	next.byPair[p] = s
	m.series.Store(next)
	return s
}

// Finished counts a request by its outcome and, if it was rejected, by its
// error code. Without a workspace the entry is what a client wrote and could
// be anything, so such requests are counted together.
func (m *Metrics) Finished(entry, workspace string, r Request) {
	if r.Outcome == notRun {
		m.Rejected(r.Code)
	}
	if workspace == "" {
		entry, workspace = other, other
	}
	if result, ok := Classify(r); ok {
		m.Outcome(entry, workspace, result)
	}
}

// FirstToken observes the time to a first token, in seconds.
func (m *Metrics) FirstToken(seconds float64) { m.firstToken.Observe(seconds) }

// BetweenTokens observes the time between two tokens, in seconds.
func (m *Metrics) BetweenTokens(seconds float64) { m.betweenTokens.Observe(seconds) }

// Tokens counts tokens: generated ones, prompt tokens found in a prefix
// cache, and tokens that had been computed before and were computed again.
func (m *Metrics) Tokens(generated, cached, recomputed int) {
	for i, n := range [...]int{generated, cached, recomputed} {
		if n > 0 {
			m.tokens[i].Add(uint64(n))
		}
	}
}

// TokenTotals returns the tokens counted since the start.
func (m *Metrics) TokenTotals() (generated, cached, recomputed uint64) {
	return m.tokens[0].Load(), m.tokens[1].Load(), m.tokens[2].Load()
}

// Rejected counts a rejection by its reason, which is an error code.
func (m *Metrics) Rejected(reason string) {
	n, ok := (*m.reject.Load())[reason]
	if !ok {
		n = m.growReasons(reason)
	}
	n.Add(1)
}

// growReasons adds a reason. Reasons over the bound share one.
func (m *Metrics) growReasons(reason string) *atomic.Uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.reject.Load()
	reason = strings.ToValidUTF8(reason, "?")
	if len(old) >= maxReasons-1 && old[reason] == nil {
		reason = other
	}
	if n, ok := old[reason]; ok {
		return n
	}
	next := maps.Clone(old)
	next[reason] = new(atomic.Uint64)
	m.reject.Store(&next)
	return next[reason]
}

// SetMoves replaces the gauges of the moves; of two with the same ID the first
// counts.
func (m *Metrics) SetMoves(moves []MoveShare) {
	seen := make(map[string]bool)
	shares := []MoveShare{}
	for _, s := range moves[:min(len(moves), maxMoves)] {
		s = MoveShare{strings.ToValidUTF8(s.Entry, "?"), strings.ToValidUTF8(s.Move, "?"), strings.ToValidUTF8(s.To, "?"), s.Share}
		if !seen[s.Move] {
			seen[s.Move] = true
			shares = append(shares, s)
		}
	}
	m.moves.Store(&shares)
}

// Sample records the counters for the windows. The owner calls it at least
// once a minute; further calls within a minute have no effect.
func (m *Metrics) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorder.Sample(m.now(), m.totals(m.series.Load()))
}

// totals returns the counters: tokens first, then the series in their order.
func (m *Metrics) totals(v *view) []Counts {
	totals := make([]Counts, 1+len(v.list))
	for i := range m.tokens {
		totals[0][generated+i] = m.tokens[i].Load()
	}
	for i, s := range v.list {
		for r := range s.results {
			totals[1+i][r] = s.results[r].Load()
		}
	}
	return totals
}
