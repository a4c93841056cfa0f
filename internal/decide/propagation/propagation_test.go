package propagation

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed so that every run has the same result; the flags -rapid.seed
// and -rapid.checks extend the search.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	instanceCount = 6
	operators     = 2
)

// model simulates the distribution of the catalogue: a store that two operators
// write, and instances that read it, exchange offers and pull from each other.
type model struct {
	history     []Version // all values written; the one of revision n is at n-1
	malformed   map[int64]bool
	editing     [operators]int64 // revision on which each operator bases the next write
	outage      bool
	partitioned [instanceCount]bool // from the store and from all other instances
	instances   [instanceCount]State
	accepted    [instanceCount]int64 // highest revision accepted since the last restart
	now         time.Time
}

func (m *model) latest() Version {
	if len(m.history) == 0 {
		return Version{}
	}
	return m.history[len(m.history)-1]
}

// receive delivers a value, from the store or from a peer, to instance i.
func (m *model) receive(i int, v Version) bool {
	if v.Revision == 0 {
		return false
	}
	return m.instances[i].Received(v, !m.malformed[v.Revision])
}

func (m *model) readStore(i int) {
	if m.outage || m.partitioned[i] {
		return
	}
	m.receive(i, m.latest())
}

// heartbeat offers the revision of instance from to instance to, which pulls
// immediately.
func (m *model) heartbeat(from, to int) {
	if m.partitioned[from] || m.partitioned[to] || from == to {
		return
	}
	m.instances[to].Offered(fmt.Sprint(from), m.instances[from].Have.Revision)
	if peer, ok := m.instances[to].PullSource(); ok {
		var p int
		_, _ = fmt.Sscan(peer, &p) // peer IDs in this model are instance numbers
		if m.partitioned[p] || !m.receive(to, m.instances[p].Have) {
			m.instances[to].PullFailed(peer)
		}
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	for i := range m.instances {
		have := m.instances[i].Have
		if have.Revision < m.accepted[i] {
			t.Fatalf("instance %d: got revision %d after %d, want no revert", i, have.Revision, m.accepted[i])
		}
		m.accepted[i] = have.Revision
		if have.Revision == 0 {
			continue
		}
		if have.Revision > int64(len(m.history)) || m.history[have.Revision-1] != have || m.malformed[have.Revision] {
			t.Fatalf("instance %d: got %+v, want a value that was written and decodes", i, have)
		}
	}
}

// converge ends the outage and all partitions. Only instance 0 reads the store; the
// others must get the value from peers. Every instance exchanges heartbeats with
// every other one.
func (m *model) converge() {
	m.outage, m.partitioned = false, [instanceCount]bool{}
	for i := range m.instances {
		m.now = m.now.Add(10 * time.Second)
		if m.instances[i].ReadDue(m.now, false, 0.5) && i == 0 {
			m.readStore(i)
		}
	}
	for range 2 {
		for from := range m.instances {
			for to := range m.instances {
				m.heartbeat(from, to)
			}
		}
	}
}

// Guards against an instance whose catalogue reverts, is one that no operator
// wrote, or never arrives, under partitions, restarts, store outages and two
// operators that write concurrently.
func TestCatalogueNeverRevertsAndArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{malformed: make(map[int64]bool), now: time.Unix(1_000_000, 0)}
		instance := rapid.IntRange(0, instanceCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkInvariants,
			"operator reads": func(t *rapid.T) {
				m.editing[rapid.IntRange(0, operators-1).Draw(t, "operator")] = m.latest().Revision
			},
			"operator writes": func(t *rapid.T) {
				o := rapid.IntRange(0, operators-1).Draw(t, "operator")
				if m.outage || m.editing[o] != m.latest().Revision {
					return // conflict: the other operator wrote first
				}
				v := Version{Revision: int64(len(m.history)) + 1, Hash: rapid.Uint64().Draw(t, "hash")}
				m.history = append(m.history, v)
				m.malformed[v.Revision] = rapid.IntRange(0, 4).Draw(t, "malformed") == 0
			},
			"old response": func(t *rapid.T) { // a delayed response from the store or a peer
				if len(m.history) > 0 {
					m.receive(instance.Draw(t, "instance"), rapid.SampledFrom(m.history).Draw(t, "value"))
				}
			},
			"read":      func(t *rapid.T) { m.readStore(instance.Draw(t, "instance")) },
			"heartbeat": func(t *rapid.T) { m.heartbeat(instance.Draw(t, "from"), instance.Draw(t, "to")) },
			"cut": func(t *rapid.T) {
				m.partitioned[instance.Draw(t, "instance")] = rapid.Bool().Draw(t, "partitioned")
			},
			"outage": func(t *rapid.T) { m.outage = rapid.Bool().Draw(t, "outage") },
			"restart": func(t *rapid.T) {
				i := instance.Draw(t, "instance")
				m.instances[i], m.accepted[i] = State{}, 0
			},
		})
		m.converge()
		m.checkInvariants(t)
		// If the last value written is malformed, all instances must have the
		// highest revision that any of them has.
		want := m.latest().Revision
		if m.malformed[want] {
			want = 0
			for _, s := range m.instances {
				want = max(want, s.Have.Revision)
			}
		}
		for i := range m.instances {
			if got := m.instances[i].Have.Revision; got != want {
				t.Fatalf("instance %d after all faults ended: got revision %d, want %d", i, got, want)
			}
		}
	})
}

// Guards against an instance that is ready without a catalogue, reads the store
// too rarely to become ready, or reads it although a watch holder is heard.
func TestReadScheduleAndReadiness(t *testing.T) {
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
		{"not ready", State{}, false, 0, true},
		{"holder heard", heard, false, HolderSilence - time.Millisecond, false},
		{"holder silent", heard, false, HolderSilence, true},
		{"instance is the holder", ready, true, 0, true},
	} {
		s := c.state
		if got := s.ReadDue(now.Add(c.after), c.holder, 0.5); got != c.want {
			t.Errorf("%s after %v: got %v, want %v", c.name, c.after, got, c.want)
		}
		if s.ReadDue(now.Add(c.after), c.holder, 0.5) {
			t.Errorf("%s: got a second read at the same time, want one", c.name)
		}
	}
	if s := new(State); s.SourcesQueried() || s.Ready {
		t.Error("no catalogue: got ready, want not ready")
	}
	if s := (State{Have: Version{Revision: 1}}); !s.SourcesQueried() || !s.Ready {
		t.Error("catalogue loaded: got not ready, want ready")
	}
}

// Guards against an instance that pulls an outdated offer, never retries a failed
// pull, or rejects a valid older value of its peers after it read a malformed
// one.
func TestSourceIsHighestUsableOffer(t *testing.T) {
	var s State
	s.Offered("a", 4)
	s.Offered("b", 6)
	s.Offered("c", 5)
	if peer, ok := s.PullSource(); !ok || peer != "b" {
		t.Errorf("offers 4, 6 and 5: got source %q, want b", peer)
	}
	s.PullFailed("b")
	if peer, ok := s.PullSource(); !ok || peer != "c" {
		t.Errorf("after b failed: got source %q, want c", peer)
	}
	if !s.Offered("b", 6) {
		t.Error("same offer after a failed pull: got rejected, want accepted")
	}
	s.Received(Version{Revision: 7}, false)
	if !s.Offered("a", 4) || s.Offered("b", 7) {
		t.Error("after 7 did not decode: want offer 4 accepted and offer 7 rejected")
	}
	s.Received(Version{Revision: 6}, true)
	if peer, ok := s.PullSource(); ok {
		t.Errorf("after 6 was accepted: got source %q, want none", peer)
	}
	if got := s.WatchAfter(); got != 7 {
		t.Errorf("after 6 was accepted and 7 rejected: got watch after %d, want 7", got)
	}
}
