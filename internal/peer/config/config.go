package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/config"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

const (
	// callTimeout limits a read of the store and a pull from a peer.
	callTimeout = time.Second
	// watchTimeout is how long a watch is pending before the instance checks
	// whether it is still the holder.
	watchTimeout = 30 * time.Second
	// retryAfter is the time between two attempts of a failing watch.
	retryAfter = time.Second
	// freshFor is how long an answer of the store counts: two periods of the
	// holder's reads.
	freshFor = 2 * config.HolderPeriod
	// tick is the resolution of the schedule.
	tick = 250 * time.Millisecond
	// startPeers is the number of peers that a new instance asks.
	startPeers = 3
)

// Config configures a Propagator. Store and Decode are required.
type Config[T any] struct {
	Self          string
	FailureDomain string
	Store         kv.Store
	// Key is the store's key; default "catalogue".
	Key string
	// Decode decodes a value. What it rejects is never accepted. It must not
	// keep data.
	Decode func(revision int64, data []byte) (T, error)
	// Changed is told of each accepted value, in the order of revisions, before
	// the peers are. It must not call Heard or Offer. It may be nil.
	Changed func(revision int64, value T)
	// Holder returns the member of the own failure domain that holds the watch.
	// Nil means the instance itself.
	Holder func() string
	// Peers returns the members to ask at the start, and Pull asks one. Both
	// may be nil.
	Peers func() []string
	Pull  func(ctx context.Context, id string, r *peerpb.PullRequest) (*peerpb.Snapshot, error)
	// Notify makes the exchange tell the links at once. It may be nil.
	Notify func()
	// Now is the clock, Ticks drives the schedule and Random returns numbers in
	// [0, 1); defaults time.Now, every 250 ms and rand.Float64.
	Now        func() time.Time
	Ticks      <-chan time.Time
	Random     func() float64
	Registerer prometheus.Registerer
	Logger     *zap.Logger
}

// Snapshot is an accepted value of the catalogue.
type Snapshot[T any] struct {
	Revision int64
	// Data is the encoded value.
	Data  []byte
	Value T

	packed []byte // Data as peers pull it
}

// Propagator keeps the instance's catalogue current. Its methods are safe for
// concurrent use and do not block on the store or on peers.
type Propagator[T any] struct {
	config  Config[T]
	current atomic.Pointer[Snapshot[T]]
	ready   atomic.Bool
	fresh   atomic.Int64 // until when the store counts as answering
	retryAt atomic.Int64 // when to watch again after a failure
	offered chan struct{}
	metrics *metrics

	mu    sync.Mutex // guards state and the order of publications
	state config.State
}

// New returns a propagator without a catalogue; Run starts it.
func New[T any](c Config[T]) (*Propagator[T], error) {
	if c.Store == nil || c.Decode == nil {
		return nil, errorx.IllegalArgument.New("config: Store and Decode are required")
	}
	if c.Key == "" {
		c.Key = "catalogue"
	}
	if c.Holder == nil {
		c.Holder = func() string { return c.Self }
	}
	if c.Peers == nil || c.Pull == nil {
		c.Peers = func() []string { return nil }
	}
	if c.Notify == nil {
		c.Notify = func() {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	m, err := newMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	return &Propagator[T]{config: c, offered: make(chan struct{}, 1), metrics: m}, nil
}

// Current returns the accepted catalogue, or nil if there is none.
func (p *Propagator[T]) Current() *Snapshot[T] { return p.current.Load() }

// Revision returns the revision of the accepted catalogue, or 0.
func (p *Propagator[T]) Revision() int64 {
	if s := p.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Ready reports whether the instance has a catalogue and has asked the store
// and its peers for the highest one.
func (p *Propagator[T]) Ready() bool { return p.ready.Load() }

// Watching reports whether the instance holds the store's watch and the store
// answers it.
func (p *Propagator[T]) Watching() bool {
	return p.config.Now().UnixNano() < p.fresh.Load() && p.holds()
}

// Heard takes what the digest of a peer in a failure domain says about the
// catalogue: the peer's revision, and whether it holds the watch.
func (p *Propagator[T]) Heard(id, domain string, revision int64, watching bool) {
	p.mu.Lock()
	pull := p.state.Offered(id, revision)
	if watching && domain == p.config.FailureDomain {
		p.state.HolderHeard(p.config.Now(), p.config.Random())
	}
	p.mu.Unlock()
	if pull {
		select {
		case p.offered <- struct{}{}:
		default:
		}
	}
}

// ServePull answers a peer with the catalogue if its revision is higher, and
// with an empty snapshot otherwise.
func (p *Propagator[T]) ServePull(_ context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	s := p.current.Load()
	if s == nil || s.Revision <= r.GetHaveRevision() {
		return &peerpb.Snapshot{}, nil
	}
	return &peerpb.Snapshot{Revision: s.Revision, Catalogue: s.packed}, nil
}

// Offer takes a value from the store, for instance the caller's own write, and
// reports whether it was accepted.
func (p *Propagator[T]) Offer(revision int64, data []byte) (accepted bool) {
	return p.receive("offer", revision, data)
}

// receive decides on a value and publishes it.
func (p *Propagator[T]) receive(source string, revision int64, data []byte) (accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.Wanted(revision) {
		return false
	}
	value, err := p.decode(revision, data)
	version := config.Version{Revision: revision, Hash: xxhash.Sum64(data)}
	if !p.state.Received(version, err == nil) {
		p.metrics.rejected.Inc()
		p.config.Logger.Error("catalogue does not decode; the previous one stays in effect",
			zap.String("instance", p.config.Self), zap.String("failure-domain", p.config.FailureDomain),
			zap.Int64("revision", revision), zap.String("source", source), zap.Error(err))
		return false
	}
	p.current.Store(&Snapshot[T]{Revision: revision, Data: data, Value: value, packed: Pack(data)})
	p.metrics.accepted.WithLabelValues(source).Inc()
	p.metrics.revision.Set(float64(revision))
	if p.config.Changed != nil {
		p.config.Changed(revision, value)
	}
	p.config.Notify()
	return true
}

// decode keeps a panic of the decoder from ending the process.
func (p *Propagator[T]) decode(revision int64, data []byte) (value T, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errorx.IllegalFormat.New("decoder failed: %v", r)
		}
	}()
	return p.config.Decode(revision, data)
}

// read reads the store once and reports whether the store answered.
func (p *Propagator[T]) read(ctx context.Context) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := p.config.Store.Get(ctx, p.config.Key)
	switch {
	case err == nil:
		p.receive("store", v.Revision, v.Data)
	case !errors.Is(err, kv.ErrAbsent):
		p.metrics.failed.WithLabelValues("read").Inc()
		return false
	}
	p.answered()
	return true
}

// pull pulls from one peer and reports whether the peer answered.
func (p *Propagator[T]) pull(ctx context.Context, id string) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := p.config.Pull(ctx, id, &peerpb.PullRequest{HaveRevision: p.Revision()})
	accepted := false
	if err == nil && s.GetRevision() > 0 {
		var data []byte
		data, err = unpack(s.GetCatalogue())
		accepted = err == nil && p.receive("peer", s.GetRevision(), data)
	}
	if err != nil {
		p.metrics.failed.WithLabelValues("pull").Inc()
	}
	if !accepted {
		p.mu.Lock()
		p.state.Failed(id)
		p.mu.Unlock()
	}
	return err == nil
}
