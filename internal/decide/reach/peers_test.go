package reach

import (
	"fmt"
	"testing"
	"time"
)

// first is a source of randomness that always chooses the first of several.
func first(int) int { return 0 }

// playSilence sends requests through the peer "a" at the given times in milliseconds, and lets
// the client of each leave after patience. It returns when the peer is found to be silent, if
// that is before limit. Probes get replies as long as replies says so.
func playSilence(sends map[int]bool, patience, limit int, replies func(ms int) bool) (silentAt int, found bool) {
	var p Peers
	peers := []Peer{{ID: "a"}}
	ends := make(map[int]int)
	probeEnds := -1
	for ms := 0; ms < limit; ms++ {
		if sends[ms] {
			if _, ok := p.Choose(peers, nil, first, at(ms)); ok {
				ends[ms+patience]++
			}
		}
		for range ends[ms] {
			p.End("a")
		}
		if ms == probeEnds {
			probeEnds = -1
			if p.EndProbe("a", replies(ms), at(ms)) && !replies(ms) {
				return ms, true
			}
		}
		if ms%100 != 0 {
			continue
		}
		if ids, _ := p.BeginProbes(at(ms)); len(ids) > 0 {
			probeEnds = ms + int(PeerProbeTimeout.Milliseconds())
			if replies(ms) {
				probeEnds = ms + 1
			}
		}
	}
	return 0, false
}

// Guards against an instance that hangs and is found late, or never, because the clients of the
// requests through it leave before it is (RECOVER), and against a sound one that is taken for
// silent because its backend servers are slow.
func TestSilentPeersAreFoundWhoeverLeaves(t *testing.T) {
	never := func(int) bool { return false }
	always := func(int) bool { return true }
	until := func(end int) func(int) bool { return func(ms int) bool { return ms < end } }
	every := func(pause int) map[int]bool {
		sends := make(map[int]bool)
		for ms := 0; ms < 5000; ms += pause {
			sends[ms] = true
		}
		return sends
	}
	tests := []struct {
		name     string
		sends    map[int]bool
		patience int // ms
		replies  func(ms int) bool
		latest   int // ms; 0 means never. The delay, two probes, and up to 100 ms before each
	}{
		{"one patient client", map[int]bool{0: true}, 5000, never, 900},
		{"one client that leaves at once", map[int]bool{0: true}, 1, never, 900},
		{"clients that leave, one after the other", every(150), 100, never, 900},
		{"clients that leave, many at a time", every(10), 250, never, 900},
		{"silent from 2 s on, clients that leave", every(50), 120, until(2000), 2900},
		{"silent from 2 s on, a patient client", map[int]bool{0: true}, 5000, until(2000), 2900},
		{"sound, patient clients", every(50), 3000, always, 0},
		{"sound, clients that leave", every(50), 120, always, 0},
		{"no requests", nil, 0, never, 0},
	}
	for _, tt := range tests {
		got, found := playSilence(tt.sends, tt.patience, 5000, tt.replies)
		if found != (tt.latest > 0) || got > tt.latest {
			t.Errorf("%s: got silent %v at %d ms, want %v by %d ms", tt.name, found, got, tt.latest > 0, tt.latest)
		}
	}
}

// Guards against a peer that is given up because one probe was late, and against a silent one
// that is not asked again once it replies.
func TestSilentPeersAreAskedAgainOnceTheyReply(t *testing.T) {
	var p Peers
	peers := []Peer{{ID: "a"}}
	if _, ok := p.Choose(peers, nil, first, at(0)); !ok {
		t.Fatal("no peer is chosen")
	}
	for n, ms := range []int{200, 300, 700} {
		ids, awaited := p.BeginProbes(at(ms))
		if len(ids) != 1 || !awaited {
			t.Fatalf("probe %d: got probes of %v, want one of a", n, ids)
		}
		if changed := p.EndProbe("a", n == 2, at(ms)); changed != (n > 0) {
			t.Errorf("probe %d: got change %v, want %v", n, changed, n > 0)
		}
		if _, ok := p.Choose(peers, nil, first, at(ms)); ok != (n != 1) {
			t.Errorf("after probe %d: got chosen %v, want %v", n, ok, n != 1)
		}
	}
}

// Guards against requests that are refused because each peer has failed once, and against ones
// that go on using a peer that has just failed while another is sound.
func TestAPeerThatFailedIsTheLastToBeAsked(t *testing.T) {
	var p Peers
	peers := []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	choose := func(tried ...string) string {
		id, _ := p.Choose(peers, tried, first, at(10))
		return id
	}
	p.Failed("a", at(0))
	if got := choose(); got != "b" {
		t.Errorf("after a failure of a: got %q, want b", got)
	}
	p.Failed("b", at(1))
	p.Failed("c", at(2))
	for n, want := range []string{"a", "b", "c", ""} {
		var tried []string
		for _, peer := range peers[:n] {
			tried = append(tried, peer.ID)
		}
		if got := choose(tried...); got != want {
			t.Errorf("after failures of all, %v tried: got %q, want %q", tried, got, want)
		}
	}
	p.Unable("a", at(3))
	if got := choose(); got != "b" {
		t.Errorf("a cannot send: got %q, want b", got)
	}
	p.Replied("c", at(4))
	if got := choose(); got != "c" {
		t.Errorf("c has replied since: got %q, want c", got)
	}
}

// Guards against a silence of a peer that is put down to the backend server behind it.
func TestOnlyARecentReplySpeaksForAPeer(t *testing.T) {
	var p Peers
	steps := []struct {
		play func()
		want bool
	}{
		{func() {}, false},
		{func() { p.Replied("a", at(-1)) }, false},
		{func() { p.Replied("a", at(5)) }, true},
		{func() { p.EndProbe("a", false, at(400)) }, false},
		{func() { p.EndProbe("a", true, at(500)) }, true},
	}
	for n, s := range steps {
		s.play()
		if got := p.HasReplied("a", at(0)); got != s.want {
			t.Errorf("step %d: got %v, want %v", n, got, s.want)
		}
	}
}

// Guards against the memory of peers that come and go, and against probes without an end.
func TestPeersAreForgotten(t *testing.T) {
	var p Peers
	for n := range 1000 {
		id := fmt.Sprint("peer-", n)
		p.Choose([]Peer{{ID: id}}, nil, first, at(0))
		if n%2 == 0 {
			p.Replied(id, at(1))
			p.Failed(id, at(2))
		}
		p.End(id)
	}
	now := at(0).Add(silentPeerPeriod + time.Second)
	if ids, awaited := p.BeginProbes(now); len(ids) > 0 || awaited || len(p.states) > 0 {
		t.Errorf("got probes of %d peers, awaited %v and %d states; want none", len(ids), awaited, len(p.states))
	}
}
