package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// tick is how often windows are looked at.
	tick = 250 * time.Millisecond
	// callTimeout bounds a call to another instance.
	callTimeout = time.Second
)

// Duty is the duty of reporting usage, which one instance holds.
type Duty interface {
	// Fence returns the fencing token if this instance may act now.
	Fence() (fence int64, ok bool)
	// Current returns the holder as last seen, its ID first, and its token.
	Current() (holder string, fence int64)
	// Learn tells who holds the duty.
	Learn(holder string, fence int64)
}

// Config configures a Reporter. All fields are required.
type Config struct {
	Instance string
	// Node names this process among those of the instance: its ID, a slash and
	// the incarnation.
	Node   string
	Window time.Duration
	Duty   Duty
	Store  store.Store
	// Prefix is where the sums of windows are kept in the store.
	Prefix string
	// Report reports the requests of each workspace that began in a window.
	Report func(ctx context.Context, fence, window int64, counts map[string]int64) error
	// Tell sends counts to another instance.
	Tell func(ctx context.Context, instance string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error)
	// Live returns the live instances, and Registered those that counts are
	// waited for.
	Live, Registered func() []string
	Log              *zap.Logger
}

// Reporter counts for this instance and, while it holds the duty, reports for
// all. Its methods are safe for concurrent use.
type Reporter struct {
	config    Config
	counter   *counter
	collector *collector
}

// New returns a reporter; Run starts it.
func New(c Config) *Reporter {
	counter := newCounter(c.Node, c.Window)
	return &Reporter{config: c, counter: counter, collector: &collector{config: c, counter: counter}}
}

// Began counts a request that a server began to run.
func (r *Reporter) Began(workspace string) { r.counter.began(workspace, time.Now()) }

// First counts a stream's first event, and whether it came after the objective.
func (r *Reporter) First(service string, late bool) { r.counter.first(service, late, time.Now()) }

// Run sends counts, and reports them while this instance holds the duty, until
// ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { wait.Every(ctx, tick, func() { r.flush(ctx, false) }) })
	wg.Go(func() { r.collector.run(ctx) })
	wg.Wait()
}

// Flush sends what was counted up to now. It is called when the instance stops
// and serves no more requests.
func (r *Reporter) Flush(ctx context.Context) { r.flush(ctx, true) }

// HandOver gives what other instances have sent to this one to another. It is
// called when this instance has given up the duty and stops.
func (r *Reporter) HandOver(ctx context.Context) {
	for _, counts := range r.collector.unreported() {
		counts.Adopt = true
		if other := r.anyOther(""); other != "" {
			r.tell(ctx, other, counts)
		}
	}
}

// Serve takes a peer's counts.
func (r *Reporter) Serve(_ context.Context, counts *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	holder, fence := r.config.Duty.Current()
	reply := &peerpb.UsageReply{Held: r.collector.take(counts, time.Now()), Holder: holder, Fence: fence}
	if !reply.Held && counts.GetAdopt() && r.collector.valid(counts, time.Now()) {
		r.counter.adopt(counts)
		reply.Adopted = true
	}
	return reply, nil
}

// Load returns the sums over all instances of what was asked of a service in
// the window that ended last, and the number of instances that they are of.
func (r *Reporter) Load(service string) (window int64, l *peerpb.ServiceLoad, nodes int) {
	window = r.counter.at(time.Now()) - 1
	l, nodes = r.collector.load(window, service)
	return window, l, nodes
}

// flush sends what the holder lacks. An instance that the store rejects learns
// from its peers who holds the duty.
func (r *Reporter) flush(ctx context.Context, stopping bool) {
	holder, _ := r.config.Duty.Current()
	id, _, _ := strings.Cut(holder, " ")
	for _, counts := range r.counter.due(holder, stopping, time.Now()) {
		has := false
		switch {
		case id == r.config.Instance:
			has = r.collector.take(counts, time.Now())
		case id != "":
			has = r.tell(ctx, id, counts)
		}
		if other := r.anyOther(id); !has && other != "" {
			has = r.tell(ctx, other, counts)
		}
		if !has && !stopping {
			return
		}
		if has {
			r.counter.sent(counts, holder)
		}
	}
}

// tell sends counts to another instance and reports whether it holds the duty
// or has adopted them.
func (r *Reporter) tell(ctx context.Context, id string, counts *peerpb.UsageRequest) (has bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.config.Tell(ctx, id, counts)
	if err != nil {
		r.config.Log.Debug("usage was not taken", zap.String("peer", id), zap.Int64("window", counts.GetWindow()), zap.Error(err))
		return false
	}
	if reply.GetHolder() != "" {
		r.config.Duty.Learn(reply.GetHolder(), reply.GetFence())
	}
	return reply.GetHeld() || reply.GetAdopted()
}

// anyOther returns a random live instance but this one and another, or "".
func (r *Reporter) anyOther(but string) string {
	ids := slices.DeleteFunc(slices.Clone(r.config.Live()), func(id string) bool { return id == but || id == r.config.Instance })
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}
