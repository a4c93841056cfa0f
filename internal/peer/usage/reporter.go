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
	// tickInterval is the time between two checks for counts to send and windows
	// to report.
	tickInterval = 250 * time.Millisecond
	// callTimeout limits each call to another instance.
	callTimeout = time.Second
)

// Duty is the duty of reporting usage. At most one instance holds it at a time.
type Duty interface {
	// Fence returns the fencing token, and whether this instance holds the duty
	// and may act now.
	Fence() (fence int64, ok bool)
	// Current returns the last known holder and its fencing token. The holder
	// string starts with the instance ID, which ends at the first space.
	Current() (holder string, fence int64)
	// Learn records the holder and fencing token reported by a peer.
	Learn(holder string, fence int64)
	// Era returns the latest era of the store that was seen, and the fencing token under
	// which this instance was the last holder of the era before, or 0 if it may not have
	// been.
	Era() (era, heldFence int64)
}

// Config configures a Reporter. All fields are required.
type Config struct {
	Instance string
	// Node identifies this process: the instance ID, a slash and the
	// incarnation. A restarted instance has another node name.
	Node   string
	Window time.Duration
	Duty   Duty
	Store  store.Store
	// Prefix is the prefix of the store keys that hold the sums of windows, and EraKey the
	// key that holds the first window that may be summed up in the store's era.
	Prefix, EraKey string
	// Report reports the number of requests of each workspace that were counted
	// in a window. Windows are numbered from the Unix epoch.
	Report func(ctx context.Context, fence, window int64, counts map[string]int64) error
	// Send sends counts to another instance and returns its reply.
	Send func(ctx context.Context, instance string, r *peerpb.UsageRequest) (*peerpb.UsageReply, error)
	// Live returns the IDs of the live instances. Registered returns the IDs of
	// the instances whose counts the holder waits for.
	Live, Registered func() []string
	Log              *zap.Logger
}

// Reporter counts the requests of this instance and, while the instance holds
// the duty, reports the usage of all instances. Its methods are safe for
// concurrent use.
type Reporter struct {
	config    Config
	counter   *counter
	collector *collector
}

// New returns a reporter. Run starts it.
func New(c Config) *Reporter {
	counter := newCounter(c.Node, c.Window)
	return &Reporter{config: c, counter: counter, collector: &collector{config: c, counter: counter}}
}

// AddRequest counts a request that a backend server began to run.
func (r *Reporter) AddRequest(workspace string) { r.counter.addRequest(workspace, time.Now()) }

// AddFirst counts a stream's first event. The event is late if the time to it
// exceeded the objective of the request's route.
func (r *Reporter) AddFirst(service string, late bool) { r.counter.addFirst(service, late, time.Now()) }

// Run sends the counts of this instance to the duty's holder, and reports usage
// while this instance holds the duty, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { wait.Every(ctx, tickInterval, func() { r.flush(ctx, false) }) })
	wg.Go(func() { r.collector.run(ctx) })
	wg.Wait()
}

// Flush sends all unsent counts, including those of the current window. It is
// called when the instance is stopping and serves no more requests.
func (r *Reporter) Flush(ctx context.Context) { r.flush(ctx, true) }

// HandOver hands over the counts that this instance has received as the duty's
// holder but not reported, each to a random other instance. It is called when
// this instance has released the duty and is stopping.
func (r *Reporter) HandOver(ctx context.Context) {
	for _, counts := range r.collector.unreported() {
		counts.Adopt = true
		if other := r.randomPeer(""); other != "" {
			r.send(ctx, other, counts)
		}
	}
}

// Serve handles the counts sent by a peer.
func (r *Reporter) Serve(_ context.Context, counts *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	holder, fence := r.config.Duty.Current()
	reply := &peerpb.UsageReply{Held: r.collector.receive(counts, time.Now()), Holder: holder, Fence: fence}
	if !reply.Held && counts.GetAdopt() && r.collector.valid(counts, time.Now()) {
		reply.Adopted = r.counter.adopt(counts)
	}
	return reply, nil
}

// Load returns the number of the most recently ended window, the number of first
// events and of late ones of a service in it, and the number of nodes over which
// they are summed. Only counts that this instance has received as the duty's
// holder are included. An instance that restarted in the window counts more
// than once.
func (r *Reporter) Load(service string) (window int64, l *peerpb.ServiceLoad, nodes int) {
	window = r.counter.windowAt(time.Now()) - 1
	l, nodes = r.collector.serviceLoad(window, service)
	return window, l, nodes
}

// flush sends the counts that the holder has not received yet. If no holder is
// known or the holder does not take them, flush sends them to a random peer,
// whose reply names the holder that it knows: an instance that cannot use the
// store learns of a new holder this way. If the peer does not take them either,
// flush leaves them and the remaining counts to the next tick, unless the
// instance is stopping.
func (r *Reporter) flush(ctx context.Context, stopping bool) {
	holder, _ := r.config.Duty.Current()
	id, _, _ := strings.Cut(holder, " ")
	for _, counts := range r.counter.unsent(holder, stopping, time.Now()) {
		delivered := false
		switch {
		case id == r.config.Instance:
			delivered = r.collector.receive(counts, time.Now())
		case id != "":
			delivered = r.send(ctx, id, counts)
		}
		if other := r.randomPeer(id); !delivered && other != "" {
			delivered = r.send(ctx, other, counts)
		}
		if !delivered && !stopping {
			return
		}
		if delivered {
			r.counter.markSent(counts, holder)
		}
	}
}

// send sends counts to another instance and reports whether that instance took
// them, either as the duty's holder or by adopting them.
func (r *Reporter) send(ctx context.Context, id string, counts *peerpb.UsageRequest) (delivered bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.config.Send(ctx, id, counts)
	if err != nil {
		r.config.Log.Debug("sending usage to peer failed", zap.String("peer", id), zap.Int64("window", counts.GetWindow()), zap.Error(err))
		return false
	}
	if reply.GetHolder() != "" {
		r.config.Duty.Learn(reply.GetHolder(), reply.GetFence())
	}
	return reply.GetHeld() || reply.GetAdopted()
}

// randomPeer returns the ID of a random live instance other than this one and
// except, or "" if there is none.
func (r *Reporter) randomPeer(except string) string {
	ids := slices.DeleteFunc(slices.Clone(r.config.Live()), func(id string) bool { return id == except || id == r.config.Instance })
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}
