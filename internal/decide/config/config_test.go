package config

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed, so that every run gives the same verdict; -rapid.seed and
// -rapid.checks search further.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	nodeCount = 6
	operators = 2
)

// spread models the catalogue's spread: a store that two operators write, and
// nodes that watch, read, exchange offers and pull.
type spread struct {
	history []Version // what was ever written, by revision
	bad     map[int64]bool
	read    [operators]int64 // the revision that an operator edits
	outage  bool
	cut     [nodeCount]bool // from other nodes and from the store
	nodes   [nodeCount]State
	seen    [nodeCount]int64 // highest revision accepted in this incarnation
	now     time.Time
}

func (s *spread) latest() Version {
	if len(s.history) == 0 {
		return Version{}
	}
	return s.history[len(s.history)-1]
}

// receive gives a node a value; the caller has chosen the source.
func (s *spread) receive(n int, v Version) bool {
	if v.Revision == 0 {
		return false
	}
	return s.nodes[n].Received(v, !s.bad[v.Revision])
}

func (s *spread) fromStore(n int) {
	if s.outage || s.cut[n] {
		return
	}
	s.receive(n, s.latest())
}

// heartbeat offers from's revision to the node, which pulls at once.
func (s *spread) heartbeat(from, to int) {
	if s.cut[from] || s.cut[to] || from == to {
		return
	}
	s.nodes[to].Offered(fmt.Sprint(from), s.nodes[from].Have.Revision)
	if peer, ok := s.nodes[to].Source(); ok {
		var p int
		_, _ = fmt.Sscan(peer, &p) // the peers are numbers that this model wrote
		if s.cut[p] || !s.receive(to, s.nodes[p].Have) {
			s.nodes[to].Failed(peer)
		}
	}
}

func (s *spread) check(t *rapid.T) {
	for i := range s.nodes {
		have := s.nodes[i].Have
		if have.Revision < s.seen[i] {
			t.Fatalf("node %d: got revision %d after %d, want no revert", i, have.Revision, s.seen[i])
		}
		s.seen[i] = have.Revision
		if have.Revision == 0 {
			continue
		}
		if have.Revision > int64(len(s.history)) || s.history[have.Revision-1] != have || s.bad[have.Revision] {
			t.Fatalf("node %d: got %+v, want a value that was written and decodes", i, have)
		}
	}
}

// settle lets everything be reachable and each node hear each other one.
func (s *spread) settle() {
	s.outage, s.cut = false, [nodeCount]bool{}
	for i := range s.nodes {
		s.now = s.now.Add(10 * time.Second)
		if s.nodes[i].ReadDue(s.now, false, 0.5) && i == 0 {
			s.fromStore(i)
		}
	}
	for range 2 {
		for from := range s.nodes {
			for to := range s.nodes {
				s.heartbeat(from, to)
			}
		}
	}
}

// Guards against a catalogue that reverts, that no operator wrote, or that does
// not arrive, under cuts, restarts, outages and two operators at once.
func TestCatalogueNeverRevertsAndArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &spread{bad: make(map[int64]bool), now: time.Unix(1_000_000, 0)}
		node := rapid.IntRange(0, nodeCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"": s.check,
			"operator reads": func(t *rapid.T) {
				s.read[rapid.IntRange(0, operators-1).Draw(t, "operator")] = s.latest().Revision
			},
			"operator writes": func(t *rapid.T) {
				o := rapid.IntRange(0, operators-1).Draw(t, "operator")
				if s.outage || s.read[o] != s.latest().Revision {
					return // conflict: the other operator was first
				}
				v := Version{Revision: int64(len(s.history)) + 1, Hash: rapid.Uint64().Draw(t, "hash")}
				s.history = append(s.history, v)
				s.bad[v.Revision] = rapid.IntRange(0, 4).Draw(t, "bad") == 0
			},
			"old answer": func(t *rapid.T) { // a delayed answer of the store or of a peer
				if len(s.history) > 0 {
					s.receive(node.Draw(t, "node"), rapid.SampledFrom(s.history).Draw(t, "value"))
				}
			},
			"read":      func(t *rapid.T) { s.fromStore(node.Draw(t, "node")) },
			"heartbeat": func(t *rapid.T) { s.heartbeat(node.Draw(t, "from"), node.Draw(t, "to")) },
			"cut": func(t *rapid.T) {
				s.cut[node.Draw(t, "node")] = rapid.Bool().Draw(t, "cut")
			},
			"outage": func(t *rapid.T) { s.outage = rapid.Bool().Draw(t, "outage") },
			"restart": func(t *rapid.T) {
				i := node.Draw(t, "node")
				s.nodes[i], s.seen[i] = State{}, 0
			},
		})
		s.settle()
		s.check(t)
		// If the last write does not decode, all nodes have the highest revision
		// that any of them had.
		want := s.latest().Revision
		if s.bad[want] {
			want = 0
			for _, n := range s.nodes {
				want = max(want, n.Have.Revision)
			}
		}
		for i := range s.nodes {
			if got := s.nodes[i].Have.Revision; got != want {
				t.Fatalf("node %d after everything is reachable: got revision %d, want %d", i, got, want)
			}
		}
	})
}

// Guards against a node that is ready without a catalogue, reads too rarely to
// become ready, or reads although a holder watches.
func TestReadDue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ready := State{Have: Version{Revision: 1}, Ready: true, ReadAt: now}
	heard := ready
	heard.HolderHeard(now, 0)
	for _, c := range []struct {
		name   string
		state  State
		holder bool
		after  time.Duration
		want   bool
	}{
		{"start", State{}, false, 0, true},
		{"holder heard", heard, false, HolderSilence - time.Millisecond, false},
		{"holder silent", heard, false, HolderSilence, true},
		{"holder itself", ready, true, 0, true},
	} {
		s := c.state
		if got := s.ReadDue(now.Add(c.after), c.holder, 0.5); got != c.want {
			t.Errorf("%s after %v: got %v, want %v", c.name, c.after, got, c.want)
		}
		if s.ReadDue(now.Add(c.after), c.holder, 0.5) {
			t.Errorf("%s: got two reads at once, want one", c.name)
		}
	}
	if s := new(State); s.Asked() || s.Ready {
		t.Error("no catalogue: got ready, want not ready")
	}
	if s := (State{Have: Version{Revision: 1}}); !s.Asked() || !s.Ready {
		t.Error("catalogue loaded: got not ready, want ready")
	}
}

// Guards against a node that pulls an old offer, never retries a failed pull,
// or, having read a value that does not decode, refuses its peers' good one.
func TestOffers(t *testing.T) {
	var s State
	s.Offered("a", 4)
	s.Offered("b", 6)
	s.Offered("c", 5)
	if peer, ok := s.Source(); !ok || peer != "b" {
		t.Errorf("offers 4, 6 and 5: got source %q, want b", peer)
	}
	s.Failed("b")
	if peer, ok := s.Source(); !ok || peer != "c" {
		t.Errorf("after b failed: got source %q, want c", peer)
	}
	if !s.Offered("b", 6) {
		t.Error("the same offer after a failed pull: got refused, want taken")
	}
	s.Received(Version{Revision: 7}, false)
	if !s.Offered("a", 4) || s.Offered("b", 7) {
		t.Error("after 7 did not decode: want 4 taken and 7 refused")
	}
	s.Received(Version{Revision: 6}, true)
	if peer, ok := s.Source(); ok {
		t.Errorf("after 6 was accepted: got source %q, want none", peer)
	}
	if got := s.WatchAfter(); got != 7 {
		t.Errorf("after 6 was accepted and 7 rejected: got a watch after %d, want 7", got)
	}
}
