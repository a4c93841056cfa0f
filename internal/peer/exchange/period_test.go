package exchange

import (
	"fmt"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
)

// Guards against counters of other failure domains that arrive seconds late in a
// fleet of few failure domains, and against exchanges that grow with their number.
func TestRemotePeriodGrowsWithFailureDomains(t *testing.T) {
	for _, tt := range []struct {
		domains int
		min     time.Duration
		want    time.Duration
	}{
		{4, 0, maxRemotePeriod},
		{4, 500 * time.Millisecond, 500 * time.Millisecond},
		{6, 500 * time.Millisecond, 500 * time.Millisecond},
		{13, 500 * time.Millisecond, 24 * remotePeriodPerLink},
		{60, 500 * time.Millisecond, maxRemotePeriod},
	} {
		var ms []membership.Member
		for d := range tt.domains {
			for n := range 2 {
				ms = append(ms, membership.Member{ID: fmt.Sprintf("e%d-%d", d, n), Incarnation: 1, FailureDomain: fmt.Sprint("d", d), PeerAddress: "127.0.0.1:1"})
			}
		}
		table := membership.NewTable(membership.Config{Self: ms[0], Hubs: 2})
		now := time.Unix(1000, 0)
		table.MergeInstanceList(ms, now)
		n, err := New(Config{Members: table, MinRemotePeriod: tt.min})
		if err != nil {
			t.Fatal(err)
		}
		if got := n.remotePeriodFor(table.ExchangePeers(now)); got != tt.want {
			t.Errorf("%d failure domains, at least %v: got %v, want %v", tt.domains, tt.min, got, tt.want)
		}
	}
}
