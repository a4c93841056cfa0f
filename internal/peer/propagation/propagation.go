package propagation

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

	"wasabiworks.example/wasabiworks/internal/decide/propagation"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

const (
	// callTimeout limits each read of the store and each pull from a peer.
	callTimeout = time.Second
	// watchTimeout is how long a watch waits for a change before the instance
	// checks again whether it is the watch holder.
	watchTimeout = 30 * time.Second
	// watchRetryInterval is the time before a failed watch is retried.
	watchRetryInterval = time.Second
	// storeAvailableFor is how long the store is considered available after it has
	// answered: two periods of the watch holder's reads.
	storeAvailableFor = 2 * propagation.HolderReadPeriod
	// tickInterval is the time between two checks for due reads and watches.
	tickInterval = 250 * time.Millisecond
	// startupPeers is the number of peers from which a starting instance pulls.
	startupPeers = 3
)

// Config configures a Propagator. Store and Decode are required.
type Config[T any] struct {
	Self          string
	FailureDomain string
	Store         kv.Store
	// Key is the catalogue's key in the store. Default "catalogue".
	Key string
	// Decode decodes a value. A value for which it returns an error is not
	// accepted. It must not retain data.
	Decode func(revision int64, data []byte) (T, error)
	// Changed is called with each accepted value, in the order of revisions and
	// before Notify. It must not call ObservePeer or Offer, which would
	// deadlock. It may be nil.
	Changed func(revision int64, value T)
	// Holder returns the ID of the instance that holds the store's watch for
	// this failure domain. If it is nil, this instance is the holder.
	Holder func() string
	// Peers returns the IDs of the instances from which to pull at startup. Pull
	// pulls the catalogue from an instance. Both may be nil.
	Peers func() []string
	Pull  func(ctx context.Context, id string, r *peerpb.PullRequest) (*peerpb.Snapshot, error)
	// Notify is called after a value was accepted, so that a heartbeat with the
	// new revision can be sent to peers at once. Like Changed, it must not call
	// ObservePeer or Offer. It may be nil.
	Notify func()
	// Now is the clock, Ticks triggers the checks for due reads and watches, and
	// Random returns numbers in [0, 1). Defaults time.Now, a ticker of 250 ms
	// and rand.Float64.
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

	compressed []byte // Data as sent to peers
}

// Propagator keeps the instance's catalogue current. Its methods are safe for
// concurrent use and do not block on the store or on peers.
type Propagator[T any] struct {
	config              Config[T]
	current             atomic.Pointer[Snapshot[T]]
	ready               atomic.Bool
	storeAvailableUntil atomic.Int64 // until when the store is considered available, in nanoseconds since the Unix epoch
	watchRetryAt        atomic.Int64 // when to retry a failed watch, in nanoseconds since the Unix epoch
	pullSignal          chan struct{}
	metrics             *metrics

	mu    sync.Mutex // guards state and keeps accepted values in the order of revisions
	state propagation.State
}

// New returns a propagator without a catalogue. Run starts it.
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
	return &Propagator[T]{config: c, pullSignal: make(chan struct{}, 1), metrics: m}, nil
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
// and some peers for the highest revision.
func (p *Propagator[T]) Ready() bool { return p.ready.Load() }

// Watching reports whether the instance holds the store's watch and the store
// is considered available.
func (p *Propagator[T]) Watching() bool {
	return p.config.Now().UnixNano() < p.storeAvailableUntil.Load() && p.isHolder()
}

// ObservePeer records that the peer id, in failure domain domain, has the given
// revision, and whether that peer is watching the store. A new revision is
// pulled from the peer. A watching peer in this instance's failure domain resets
// the time at which this instance reads the store directly.
func (p *Propagator[T]) ObservePeer(id, domain string, revision int64, watching bool) {
	p.mu.Lock()
	pull := p.state.Offered(id, revision)
	if watching && domain == p.config.FailureDomain {
		p.state.HolderHeard(p.config.Now(), p.config.Random())
	}
	p.mu.Unlock()
	if pull {
		select {
		case p.pullSignal <- struct{}{}:
		default:
		}
	}
}

// ServePull handles a Pull request from a peer. It returns the catalogue if its
// revision is higher than the peer's, and an empty snapshot otherwise.
func (p *Propagator[T]) ServePull(_ context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	s := p.current.Load()
	if s == nil || s.Revision <= r.GetHaveRevision() {
		return &peerpb.Snapshot{}, nil
	}
	return &peerpb.Snapshot{Revision: s.Revision, Catalogue: s.compressed}, nil
}

// Offer processes a value that the caller read from the store or wrote to it,
// and reports whether the value was accepted.
func (p *Propagator[T]) Offer(revision int64, data []byte) (accepted bool) {
	return p.receive("offer", revision, data)
}

// receive decides whether to accept a value and publishes it if so.
func (p *Propagator[T]) receive(source string, revision int64, data []byte) (accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.Wanted(revision) {
		return false
	}
	value, err := p.decode(revision, data)
	version := propagation.Version{Revision: revision, Hash: xxhash.Sum64(data)}
	if !p.state.Received(version, err == nil) {
		p.metrics.rejected.Inc()
		p.config.Logger.Error("decoding catalogue failed; the previous revision stays in effect",
			zap.String("instance", p.config.Self), zap.String("failure-domain", p.config.FailureDomain),
			zap.Int64("revision", revision), zap.String("source", source), zap.Error(err))
		return false
	}
	p.current.Store(&Snapshot[T]{Revision: revision, Data: data, Value: value, compressed: Compress(data)})
	p.metrics.accepted.WithLabelValues(source).Inc()
	p.metrics.revision.Set(float64(revision))
	if p.config.Changed != nil {
		p.config.Changed(revision, value)
	}
	p.config.Notify()
	return true
}

// decode calls Config.Decode and returns its panics as errors, so that an invalid
// catalogue cannot terminate the process.
func (p *Propagator[T]) decode(revision int64, data []byte) (value T, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errorx.IllegalFormat.New("decoder panicked: %v", r)
		}
	}()
	return p.config.Decode(revision, data)
}

// readStore reads the catalogue from the store and reports whether the store
// answered.
func (p *Propagator[T]) readStore(ctx context.Context) (answered bool) {
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
	p.recordStoreSuccess()
	return true
}

// pullFrom pulls the catalogue from a peer. It reports whether the peer returned
// a readable reply, which may hold no new revision; the callers ignore this
// result.
func (p *Propagator[T]) pullFrom(ctx context.Context, id string) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := p.config.Pull(ctx, id, &peerpb.PullRequest{HaveRevision: p.Revision()})
	accepted := false
	if err == nil && s.GetRevision() > 0 {
		var data []byte
		data, err = Decompress(s.GetCatalogue())
		accepted = err == nil && p.receive("peer", s.GetRevision(), data)
	}
	if err != nil {
		p.metrics.failed.WithLabelValues("pull").Inc()
	}
	if !accepted {
		p.mu.Lock()
		p.state.PullFailed(id)
		p.mu.Unlock()
	}
	return err == nil
}
