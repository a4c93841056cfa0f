package propagation_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

// node is a propagator whose ticks the test sends. It records the revisions that
// Changed is called with.
type node struct {
	*propagation.Propagator[string]
	ticks   chan time.Time
	changes struct {
		sync.Mutex
		revisions []int64
	}
}

type options struct {
	self, holder string
	store        *kvtest.Store
	peers        map[string]*node
	clock        *atomic.Int64
}

func start(t *testing.T, o options) *node {
	t.Helper()
	n := &node{ticks: make(chan time.Time)}
	p, err := propagation.New(propagation.Config[string]{
		Self: o.self, FailureDomain: "zlin", Store: o.store,
		Decode: func(_ int64, data []byte) (string, error) {
			switch string(data) {
			case "bad":
				return "", errors.New("bad catalogue")
			case "panic":
				panic("decoder fault")
			}
			return string(data), nil
		},
		Changed: func(revision int64, _ string) {
			n.changes.Lock()
			defer n.changes.Unlock()
			n.changes.revisions = append(n.changes.revisions, revision)
		},
		Holder: func() string { return o.holder },
		Peers: func() (ids []string) {
			for id := range o.peers {
				ids = append(ids, id)
			}
			return ids
		},
		Pull: func(ctx context.Context, id string, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
			if p, ok := o.peers[id]; ok {
				return p.ServePull(ctx, r)
			}
			return nil, errors.New("unreachable")
		},
		Now:   func() time.Time { return time.Unix(0, o.clock.Load()) },
		Ticks: n.ticks, Random: func() float64 { return 0.5 },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Propagator = p
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// tickUntil advances the clock and sends ticks to n until reached returns true.
func tickUntil(t *testing.T, o options, n *node, what string, reached func() bool) {
	t.Helper()
	for range 2000 {
		if reached() {
			return
		}
		o.clock.Add(int64(20 * time.Millisecond))
		n.ticks <- time.Time{}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func put(t *testing.T, s *kvtest.Store, value string, ifRevision int64) int64 {
	t.Helper()
	revision, err := s.Put(t.Context(), "catalogue", []byte(value), ifRevision)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func newOptions(self, holder string) options {
	o := options{self: self, holder: holder, store: kvtest.New(), clock: new(atomic.Int64)}
	o.clock.Store(time.Unix(1_000_000, 0).UnixNano())
	return o
}

// Guards against an undecodable value that takes effect, terminates the process
// or prevents the instance from accepting the next valid one.
func TestUndecodableCatalogueIsNotAccepted(t *testing.T) {
	is := is.New(t)
	o := newOptions("a", "a")
	first := put(t, o.store, "one", 0)
	n := start(t, o)
	tickUntil(t, o, n, "the instance to be ready with the first revision", n.Ready)
	// The read before the watch would otherwise take the bad revisions.
	tickUntil(t, o, n, "the watch", func() bool { return o.store.Calls().Watch > 0 })
	second := put(t, o.store, "bad", first)
	third := put(t, o.store, "panic", second)
	tickUntil(t, o, n, "the watch to go on after a bad revision", func() bool { return o.store.Calls().Watch > 1 })
	is.Equal(n.Current().Value, "one")
	fourth := put(t, o.store, "two", third)
	tickUntil(t, o, n, "the next good revision", func() bool { return n.Revision() == fourth })
	// A change is reported after its revision is in effect.
	tickUntil(t, o, n, "the report of the second change", func() bool {
		n.changes.Lock()
		defer n.changes.Unlock()
		return len(n.changes.revisions) > 1
	})
	n.changes.Lock()
	defer n.changes.Unlock()
	is.Equal(n.changes.revisions, []int64{first, fourth})
}

// Guards against a hanging store that delays startup with a catalogue pulled
// from a peer, or the pull of later revisions, and against an instance that
// becomes ready without a catalogue.
func TestHangingStoreDoesNotBlock(t *testing.T) {
	is := is.New(t)
	source := newOptions("a", "a")
	first := put(t, source.store, "one", 0)
	a := start(t, source)
	tickUntil(t, source, a, "the source to be ready", a.Ready)

	o := newOptions("b", "a")
	o.store.SetOutage(true)
	alone := start(t, o)
	tickUntil(t, o, alone, "repeated reads during an outage", func() bool { return o.store.Calls().Get > 3 })
	is.True(!alone.Ready()) // neither the store nor a peer is reachable

	o.store.SetOutage(false)
	release := o.store.Hold()
	defer release()
	o.peers = map[string]*node{"a": a}
	b := start(t, o)
	tickUntil(t, o, b, "the instance to be ready with the catalogue of a peer", b.Ready)
	is.Equal(b.Revision(), first)
	second := put(t, source.store, "two", first)
	tickUntil(t, source, a, "the second revision at the source", func() bool { return a.Revision() == second })
	b.ObservePeer("a", "zlin", second, true)
	tickUntil(t, o, b, "the second revision from the peer", func() bool { return b.Revision() == second })
}

// Guards against an instance that misses new revisions when no peer reports to
// be watching the store.
func TestReadsStoreWithoutWatchHolder(t *testing.T) {
	o := newOptions("b", "a")
	first := put(t, o.store, "one", 0)
	n := start(t, o)
	tickUntil(t, o, n, "the instance to be ready", n.Ready)
	second := put(t, o.store, "two", first)
	tickUntil(t, o, n, "a direct read of the second revision", func() bool { return n.Revision() == second })
	if calls := o.store.Calls(); calls.Watch != 0 {
		t.Errorf("an instance that is not the holder: got %d watches, want 0", calls.Watch)
	}
}
