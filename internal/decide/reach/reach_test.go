package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against probes because of single servers in trouble, and against none while the
// instance reaches no server.
func TestProbesAreMadeWhenTheInstanceMayBeTheCause(t *testing.T) {
	tests := []struct {
		name  string
		play  func(d *Detector) bool
		probe bool
	}{
		{"one of many servers refuses", func(d *Detector) bool { d.Received(at(1)); return d.ConnectFailed("a", at(0), at(2)) }, false},
		{"two servers refuse", func(d *Detector) bool {
			d.Received(at(1))
			d.ConnectFailed("a", at(0), at(2))
			return d.ConnectFailed("b", at(0), at(3))
		}, true},
		{"two servers refuse, a third accepts in between", func(d *Detector) bool {
			d.Received(at(1))
			d.ConnectFailed("a", at(0), at(2))
			d.Connected(at(3))
			return d.ConnectFailed("b", at(0), at(5))
		}, false},
		{"two servers refuse, long apart", func(d *Detector) bool {
			d.ConnectFailed("a", at(0), at(2))
			d.Received(at(2999))
			return d.ConnectFailed("b", at(2990), at(3000))
		}, false},
		{"a connection times out and nothing arrives", func(d *Detector) bool { d.Received(at(0)); return d.ConnectFailed("a", at(1), at(401)) }, true},
		{"silence", func(d *Detector) bool { d.Received(at(0)); return d.Waiting(at(0), at(500)) }, true},
		{"a short silence", func(d *Detector) bool { d.Received(at(0)); return d.Waiting(at(0), at(499)) }, false},
		{"nothing to wait for until now", func(d *Detector) bool { return d.Waiting(at(900), at(1000)) }, false},
	}
	for _, tt := range tests {
		if got := tt.play(new(Detector)); got != tt.probe {
			t.Errorf("%s: got probe %v, want %v", tt.name, got, tt.probe)
		}
	}
}

// Guards against instances that are taken for partitioned because some servers are gone, and
// against probes without a pause.
func TestPartitionBeginsAndEndsByProbes(t *testing.T) {
	var d Detector
	now := at(0)
	steps := []struct {
		probed, connected int
		partitioned       bool
		pause             time.Duration // until the next round
	}{
		{3, 1, false, soundPause}, {3, 0, true, probePause}, {3, 1, true, probePause}, {0, 0, true, probePause}, {3, 2, false, soundPause}, {0, 0, false, soundPause},
	}
	for n, s := range steps {
		if !d.BeginProbe(now) || d.BeginProbe(now) {
			t.Fatalf("step %d: want one round of probes at a time", n)
		}
		before := d.Partitioned()
		if changed := d.EndProbe(s.probed, s.connected, now); d.Partitioned() != s.partitioned || changed != (before != s.partitioned) {
			t.Errorf("step %d: got partitioned %v, changed %v; want %v", n, d.Partitioned(), changed, s.partitioned)
		}
		if d.BeginProbe(now.Add(s.pause - 1)) {
			t.Errorf("step %d: a round begins before the pause of %v is over", n, s.pause)
		}
		now = now.Add(s.pause)
	}
}

// Guards against peers that get more requests than their processor time allows while others
// have room, and against ones that are asked again at once after a failure.
func TestPeersShareTheLoad(t *testing.T) {
	var p Peers
	peers := []Peer{{ID: "strong", Capacity: 800, IsLocal: true}}
	for n := range 4 {
		peers = append(peers, Peer{ID: fmt.Sprint("weak", n), Capacity: 200, IsLocal: true})
	}
	random := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[string]int)
	for range 160 {
		id, ok := p.Choose(peers, nil, random.IntN, at(0))
		if !ok {
			t.Fatal("no peer is chosen")
		}
		chosen[id]++
	}
	for _, peer := range peers {
		if fair := 160 * int(peer.Capacity) / 1600; chosen[peer.ID] < fair/2 || chosen[peer.ID] > 2*fair {
			t.Errorf("%s sends %d of 160 requests, want about %d", peer.ID, chosen[peer.ID], fair)
		}
	}
	p.Unable("strong", at(0))
	for range 50 {
		if id, _ := p.Choose(peers, []string{"weak0"}, random.IntN, at(999)); id == "strong" || id == "weak0" {
			t.Fatalf("%s is asked again at once", id)
		}
	}
	if _, ok := p.Choose(peers[:1], nil, random.IntN, at(999)); ok {
		t.Error("a peer that reaches no server is chosen")
	}
	if _, ok := p.Choose(peers[:1], nil, random.IntN, at(1000)); !ok {
		t.Error("a peer is avoided for longer than the pause")
	}
	for id, n := range chosen {
		for range n {
			p.End(id)
		}
	}
}
