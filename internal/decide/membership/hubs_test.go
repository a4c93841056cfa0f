package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// star is a fleet whose members exchange through hubs, in simulated time.
type star struct {
	now    time.Time
	ms     []Member
	tables map[string]*Table
	sent   map[[2]string]uint64 // version delivered, by sender and receiver
	cut    func(a, b string) bool
	urgent []string // hubs that have something to relay
}

func newStar(domains, size int, capacity func(n int) int64) *star {
	s := &star{now: epoch, tables: make(map[string]*Table), sent: make(map[[2]string]uint64), cut: func(string, string) bool { return false }}
	for d := range domains {
		for n := range size {
			s.ms = append(s.ms, Member{ID: fmt.Sprintf("e%d-%d", d, n), Incarnation: 1, FailureDomain: fmt.Sprint("d", d), PeerAddress: "127.0.0.1:1", Capacity: capacity(n)})
		}
	}
	for _, m := range s.ms {
		s.tables[m.ID] = NewTable(Config{Self: m, Hubs: 2})
		s.tables[m.ID].MergeInstanceList(s.ms, epoch)
	}
	return s
}

// run lets the members exchange once a second for d. Hubs that learn something to
// relay exchange again at once.
func (s *star) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.urgent = nil
		for _, m := range s.ms {
			s.exchange(m.ID)
		}
		for len(s.urgent) > 0 {
			id := s.urgent[0]
			s.urgent = s.urgent[1:]
			s.exchange(id)
		}
	}
}

// exchange lets a member exchange with all of its peers.
func (s *star) exchange(from string) {
	t := s.tables[from]
	for _, id := range append(t.ExchangePeers(s.now), t.Probes(s.now, uint64(s.now.Unix()))...) {
		if s.cut(from, id) {
			t.Missed(id, s.now)
			continue
		}
		s.deliver(from, id)
		s.deliver(id, from)
	}
}

func (s *star) deliver(from, to string) {
	sender, receiver := s.tables[from], s.tables[to]
	urgent := receiver.Heard(sender.Self(), s.now)
	key := [2]string{from, to}
	ms, next := sender.Since(s.sent[key], maxMembers)
	s.sent[key] = next
	urgent = receiver.Merge(ms, s.now) || urgent
	if urgent && receiver.IsHub() && !slices.Contains(s.urgent, to) {
		s.urgent = append(s.urgent, to)
	}
	if sender.self.FailureDomain == receiver.self.FailureDomain {
		receiver.MergeHeard(sender.HeardFor(s.now), s.now)
	}
}

func equalCapacity(int) int64 { return 0 }

// Guards against exchanges whose number grows with the failure domain for every
// member, and against hubs on small instances beside larger ones.
func TestMembersExchangeThroughLargestHubs(t *testing.T) {
	s := newStar(6, 50, func(n int) int64 {
		if n < 3 {
			return 800
		}
		return 192
	})
	s.run(20 * time.Second)
	for _, m := range s.ms {
		table := s.tables[m.ID]
		peers := len(table.ExchangePeers(s.now))
		switch {
		case !table.IsHub() && peers != 2:
			t.Errorf("%s: got %d peers, want the two hubs", m.ID, peers)
		case table.IsHub() && (m.Capacity != 800 || peers != 49+5*PeersPerRemoteDomain):
			t.Errorf("hub %s with capacity %d: got %d peers, want capacity 800 and %d peers", m.ID, m.Capacity, peers, 49+5*PeersPerRemoteDomain)
		}
		if live := len(table.Live("", s.now)); live != len(s.ms) {
			t.Errorf("%s: got %d live members, want %d", m.ID, live, len(s.ms))
		}
		if heard := len(table.HeardDomains(s.now)); heard < 5 {
			t.Errorf("%s: heard from %d domains, want all 5 others", m.ID, heard)
		}
		if ms, _ := table.Since(0, maxMembers); len(ms) > 0 {
			t.Errorf("%s: relays %d members that the instance list describes, want none", m.ID, len(ms))
		}
	}
}

// Guards against members that take a stopped one for live, whether or not it is a
// hub, and against a stopped member that is not live again after its restart.
func TestStoppedMembersAreSuspectedThroughHubs(t *testing.T) {
	s := newStar(2, 20, equalCapacity)
	s.run(5 * time.Second)
	hubs := slices.DeleteFunc(s.tables["e0-0"].Live("d0", s.now), func(id string) bool { return !s.tables[id].IsHub() })
	member := slices.DeleteFunc(s.tables["e0-0"].Live("d0", s.now), func(id string) bool { return s.tables[id].IsHub() })[0]
	stopped := append(hubs, member)
	if len(hubs) != 2 {
		t.Fatalf("got hubs %v, want 2", hubs)
	}
	s.cut = func(a, b string) bool { return slices.Contains(stopped, a) || slices.Contains(stopped, b) }
	s.run(15 * time.Second)
	for _, m := range s.ms[:20] {
		if slices.Contains(stopped, m.ID) {
			continue
		}
		if live := s.tables[m.ID].Live("d0", s.now); len(live) != 17 {
			t.Errorf("%s, 15 s after %v stopped: got %d live members, want 17", m.ID, stopped, len(live))
		}
	}
	s.cut = func(string, string) bool { return false }
	for i, m := range s.ms {
		if slices.Contains(stopped, m.ID) {
			s.ms[i].Incarnation = 2
			s.tables[m.ID] = NewTable(Config{Self: s.ms[i], Hubs: 2})
			s.tables[m.ID].MergeInstanceList(s.ms, s.now)
			for key := range s.sent {
				if slices.Contains(key[:], m.ID) {
					delete(s.sent, key)
				}
			}
		}
	}
	s.run(10 * time.Second)
	for _, m := range s.ms {
		if live := s.tables[m.ID].Live("d0", s.now); len(live) != 20 {
			t.Errorf("%s, after the restarts: got %d live members of d0, want 20", m.ID, len(live))
		}
	}
}

// Guards against a member that is taken for stopped because one hub does not reach
// it.
func TestSuspicionOfOneHubIsRefuted(t *testing.T) {
	s := newStar(1, 20, equalCapacity)
	s.run(5 * time.Second)
	var hub, member string
	for _, m := range s.ms {
		if s.tables[m.ID].IsHub() {
			hub = m.ID
		} else {
			member = m.ID
		}
	}
	s.cut = func(a, b string) bool { return a == hub && b == member || a == member && b == hub }
	s.run(20 * time.Second)
	suspected := 0
	for range 20 {
		s.run(time.Second)
		for _, m := range s.ms {
			if m.ID != hub && !slices.Contains(s.tables[m.ID].Live("d0", s.now), member) {
				suspected++
			}
		}
	}
	if limit := 20 * 19 / 10; suspected > limit {
		t.Errorf("%s was suspected in %d of %d views, want at most %d", member, suspected, 20*19, limit)
	}
}

// Guards against a partition that outlasts its end because no member exchanges
// with the other side any more.
func TestMembersMeetAgainAfterPartition(t *testing.T) {
	s := newStar(3, 12, equalCapacity)
	s.run(5 * time.Second)
	domain := func(id string) string { return s.tables[id].self.FailureDomain }
	s.cut = func(a, b string) bool { return (domain(a) == "d1") != (domain(b) == "d1") }
	s.run(time.Minute)
	for _, m := range s.ms {
		if heard := s.tables[m.ID].HeardDomains(s.now); heard["d1"] && m.FailureDomain != "d1" {
			t.Errorf("%s: hears from the partitioned domain", m.ID)
		}
	}
	s.cut = func(string, string) bool { return false }
	s.run(30 * time.Second)
	for _, m := range s.ms {
		heard := s.tables[m.ID].HeardDomains(s.now)
		delete(heard, m.FailureDomain)
		if len(heard) != 2 {
			t.Errorf("%s: after the partition got %v heard, want both other domains", m.ID, heard)
		}
		if live := len(s.tables[m.ID].Live("", s.now)); live != len(s.ms) {
			t.Errorf("%s: after the partition got %d live members, want %d", m.ID, live, len(s.ms))
		}
	}
}

// Guards against calls to the store that grow with the fleet, and against members
// that follow each other in a circle or disagree on the watcher, also while the
// members that should watch are avoided.
func TestUpstreamLeadsToOneWatcher(t *testing.T) {
	s := newStar(6, 50, func(n int) int64 { return int64(n % 7) })
	s.run(3 * time.Second)
	avoided := make(map[string]bool)
	for round := range 5 {
		watchers := make(map[string]bool)
		for _, m := range s.ms {
			id, steps := m.ID, 0
			for ; steps <= len(s.ms); steps++ {
				next := s.tables[id].Upstream(s.now, func(id string) bool { return avoided[id] })
				if next == "" {
					break
				}
				id = next
			}
			if limit := 2; steps > limit && !avoided[m.ID] || steps > limit+1 {
				t.Fatalf("round %d, %s: %d steps to a watcher, want at most %d", round, m.ID, steps, limit)
			}
			watchers[id] = true
		}
		if len(watchers) != 1 {
			t.Errorf("round %d: got watchers %v, want one", round, watchers)
		}
		for id := range watchers {
			avoided[id] = true
		}
	}
}
