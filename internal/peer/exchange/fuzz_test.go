package exchange

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Guards against a digest from a peer that causes a panic, changes the
// instance's own member entry, or makes a table exceed its bound.
func FuzzMerge(f *testing.F) {
	full := &peerpb.Digest{
		Sender:   &peerpb.Member{Id: "b", Incarnation: 1, FailureDomain: "d", PeerAddress: "127.0.0.1:1"},
		Members:  []*peerpb.Member{{Id: "c", Incarnation: 2, FailureDomain: "e"}, {Id: "self", Incarnation: 99, Leaving: true}, {}},
		Counters: []*peerpb.Counter{{Node: "b/1", Move: "m", Version: "v", Route: "chat", Answered: 3, Failed: 1, Slow: 1}, {Load: 9, Step: 999}, {}},
		Vetoes:   []*peerpb.Veto{{Move: "m", Reason: "bad", At: 1}, {Move: "n", At: -1}, {}},
	}
	for _, d := range []*peerpb.Digest{full, {}, {Sender: &peerpb.Member{Id: "self", Leaving: true}}, {Sender: &peerpb.Member{}, Acknowledged: 1 << 63, CatalogueRevision: -1}} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d peerpb.Digest
		if proto.Unmarshal(data, &d) != nil {
			return
		}
		members, counted := len(d.Members), len(d.Counters)
		table := membership.NewTable(membership.Config{Self: membership.Member{ID: "self", Incarnation: 5, FailureDomain: "d"}})
		vetoes := NewSet(SetConfig[string, *peerpb.Veto]{
			Key: (*peerpb.Veto).GetMove, Extract: (*peerpb.Digest).GetVetoes, Limit: 2, Urgent: true,
			Add: func(d *peerpb.Digest, v *peerpb.Veto) { d.Vetoes = append(d.Vetoes, v) },
		})
		counters := Evidence{Table: new(evidence.Table), Domain: "d"}
		n, err := New(Config{Members: table, Sources: []Source{vetoes, counters}, Sinks: []Sink{vetoes, counters}})
		if err != nil {
			t.Fatal(err)
		}
		from := memberFromWire(d.GetSender())
		n.merge(from, &d)
		n.merge(from, &d)
		if self, _ := table.Member("self"); self.Incarnation != 5 || self.Leaving || self.FailureDomain != "d" {
			t.Errorf("the instance's own member was changed to %+v", self)
		}
		if got := len(table.Members()); got > 2+min(members, maxDigestMembers) {
			t.Errorf("got %d members after a digest with %d", got, members)
		}
		if got := len(vetoes.Values()); got > 2 {
			t.Errorf("got %d vetoes in a set limited to 2", got)
		}
		if rs, _ := counters.Table.Since(0, 0, nil); len(rs) > counted {
			t.Errorf("got %d counters after a digest with %d", len(rs), counted)
		}
		table.ExchangePeers(time.Now())
		n.buildDigest(from, &peer{})
	})
}
