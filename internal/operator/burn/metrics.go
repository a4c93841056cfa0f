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
	// maxSeries bounds the pairs of entry and workspace with their own series.
	// At the bound, the history takes 6 MB.
	maxSeries = 1000
	// maxMoves bounds the moves with a gauge; a catalogue has at most one for
	// each entry.
	maxMoves = 1000
	// maxReasons bounds the rejection reasons with their own counter; the
	// request path has about 30 error codes.
	maxReasons = 64
	// otherLabel is the label value of the series beyond maxSeries, the reasons
	// beyond maxReasons, and the requests without a workspace.
	otherLabel = "other"
)

// Config configures Metrics.
type Config struct {
	// Registry receives the collectors.
	Registry prometheus.Registerer
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

// seriesKey identifies a series.
type seriesKey struct{ entry, workspace string }

// series counts the requests of one workspace on one entry.
type series struct {
	seriesKey
	results [Limited + 1]atomic.Uint64
}

// seriesSet is an immutable set of series.
type seriesSet struct {
	byKey map[seriesKey]*series
	list  []*series
}

// MoveShare is the share of the requests that a move sends to the new version.
type MoveShare struct {
	Entry, Move, To string
	// Share is between 0 and 1.
	Share float64
}

// Metrics counts requests, tokens and rejections. Its methods are safe for
// concurrent use. Counting takes no lock for a series or reason that already
// has its own counter; a series beyond maxSeries or a reason beyond maxReasons
// takes a lock each time it is counted.
type Metrics struct {
	now        func() time.Time
	series     atomic.Pointer[seriesSet]
	tokens     [len(tokenNames)]atomic.Uint64
	rejections atomic.Pointer[map[string]*atomic.Uint64]
	moves      atomic.Pointer[[]MoveShare]

	firstToken, betweenTokens prometheus.Histogram

	mu       sync.Mutex // guards recorder and the replacement of series and rejections
	recorder *Recorder
}

// New returns a Metrics that is registered with the registry.
func New(config Config) (*Metrics, error) {
	m := &Metrics{now: config.Now}
	if m.now == nil {
		m.now = time.Now
	}
	m.recorder = NewRecorder(m.now())
	m.series.Store(&seriesSet{byKey: make(map[seriesKey]*series)})
	m.moves.Store(&[]MoveShare{})
	m.rejections.Store(&map[string]*atomic.Uint64{})
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

// AddResult counts one request. An invalid result counts as Failed.
func (m *Metrics) AddResult(entry, workspace string, r Result) {
	if r < Good || r > Limited {
		r = Failed
	}
	s, ok := m.series.Load().byKey[seriesKey{entry, workspace}]
	if !ok {
		s = m.seriesFor(seriesKey{entry, workspace})
	}
	s.results[r].Add(1)
}

// seriesFor returns the series for key and adds it if needed. Keys beyond
// maxSeries share one series.
func (m *Metrics) seriesFor(key seriesKey) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.series.Load()
	// A label value that is not UTF-8 would fail the whole scrape.
	key = seriesKey{strings.ToValidUTF8(key.entry, "?"), strings.ToValidUTF8(key.workspace, "?")}
	if len(old.list) >= maxSeries-1 && old.byKey[key] == nil {
		key = seriesKey{otherLabel, otherLabel}
	}
	if s, ok := old.byKey[key]; ok {
		return s
	}
	s := &series{seriesKey: key}
	next := &seriesSet{byKey: maps.Clone(old.byKey), list: append(slices.Clone(old.list), s)}
	next.byKey[key] = s
	m.series.Store(next)
	return s
}

// AddRequest counts a request by its result and, if it was rejected, by its error
// code. Without a workspace, the entry is unvalidated client input, so such
// requests are counted together.
func (m *Metrics) AddRequest(entry, workspace string, r Request) {
	if r.Outcome == notRun {
		m.AddRejection(r.Code)
	}
	if workspace == "" {
		entry, workspace = otherLabel, otherLabel
	}
	if result, ok := Classify(r); ok {
		m.AddResult(entry, workspace, result)
	}
}

// ObserveFirstToken observes the time to the first token of a response, in seconds.
func (m *Metrics) ObserveFirstToken(seconds float64) { m.firstToken.Observe(seconds) }

// ObserveBetweenTokens observes the time between two tokens of a response, in seconds.
func (m *Metrics) ObserveBetweenTokens(seconds float64) { m.betweenTokens.Observe(seconds) }

// AddTokens counts generated tokens, prompt tokens found in a prefix cache, and
// tokens that were computed again after they had been computed before.
func (m *Metrics) AddTokens(generated, cached, recomputed int) {
	for i, n := range [...]int{generated, cached, recomputed} {
		if n > 0 {
			m.tokens[i].Add(uint64(n))
		}
	}
}

// TokenTotals returns the numbers of tokens counted since the start.
func (m *Metrics) TokenTotals() (generated, cached, recomputed uint64) {
	return m.tokens[0].Load(), m.tokens[1].Load(), m.tokens[2].Load()
}

// AddRejection counts a rejection by its reason, which is an error code.
func (m *Metrics) AddRejection(reason string) {
	n, ok := (*m.rejections.Load())[reason]
	if !ok {
		n = m.rejectionCounter(reason)
	}
	n.Add(1)
}

// rejectionCounter returns the counter for reason and adds it if needed. Reasons
// beyond maxReasons share one counter.
func (m *Metrics) rejectionCounter(reason string) *atomic.Uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.rejections.Load()
	reason = strings.ToValidUTF8(reason, "?")
	if len(old) >= maxReasons-1 && old[reason] == nil {
		reason = otherLabel
	}
	if n, ok := old[reason]; ok {
		return n
	}
	next := maps.Clone(old)
	next[reason] = new(atomic.Uint64)
	m.rejections.Store(&next)
	return next[reason]
}

// SetMoves replaces the gauges of the moves. If several moves have the same ID,
// the first of them is used. Moves beyond maxMoves are dropped.
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

// Sample records the counters, so that /metrics can report windows of 5 minutes,
// 1 hour and 24 hours. Sample must be called at least once a minute; further
// calls within a minute have no effect.
func (m *Metrics) Sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recorder.Sample(m.now(), m.totals(m.series.Load()))
}

// totals returns the current counters: the tokens, followed by the series in the
// order of set.list.
func (m *Metrics) totals(set *seriesSet) []Counts {
	totals := make([]Counts, 1+len(set.list))
	for i := range m.tokens {
		totals[0][generatedTokensIndex+i] = m.tokens[i].Load()
	}
	for i, s := range set.list {
		for r := range s.results {
			totals[1+i][r] = s.results[r].Load()
		}
	}
	return totals
}
