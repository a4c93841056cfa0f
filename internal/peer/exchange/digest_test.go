package exchange

import (
	"testing"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Guards against urgent changes that wait for the next heartbeat because their kind is
// not counted as news: requests that a server answered stayed rejected on peers.
func TestContributionOfAnySourceIsNews(t *testing.T) {
	table := membership.NewTable(membership.Config{Self: membership.Member{ID: "self", Incarnation: 1, FailureDomain: "d"}})
	source := SourceFunc(func(_ membership.Member, since uint64, d *peerpb.Digest) uint64 {
		if since == 0 {
			d.PartCrashes = []*peerpb.PartCrash{{Process: "server/1", Cleared: []uint64{1}}}
		}
		return 1
	})
	n, err := New(Config{Members: table, Sources: []Source{source}})
	if err != nil {
		t.Fatal(err)
	}
	to := membership.Member{ID: "peer", FailureDomain: "e"}
	p := &peer{}
	d, versions, _ := n.buildDigest(to, p)
	p.sent = stateOf(d)
	if _, _, news := n.buildDigest(to, p); !news {
		t.Error("a crash report that the member does not have is no news")
	}
	p.confirm(versions)
	if _, _, news := n.buildDigest(to, p); news {
		t.Error("a digest without changes is news")
	}
}
