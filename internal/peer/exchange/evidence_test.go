package exchange_test

import (
	"fmt"
	"testing"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Guards against counters that are never delivered because too many changed at
// once, and against a digest that exceeds the limit of counters.
func TestManyCountersArriveInBoundedDigests(t *testing.T) {
	var from, to evidence.Table
	for n := range 3000 {
		from.Add("a/1", evidence.Key{Move: "m", Version: fmt.Sprint(n)}, evidence.Count{Answered: 1})
	}
	since := uint64(0)
	for range 60 {
		d := new(peerpb.Digest)
		since = exchange.Evidence{Table: &from}.Digest(membership.Member{}, since, d)
		if len(d.Counters) > 1024 {
			t.Fatalf("one digest: got %d counters, want at most 1024", len(d.Counters))
		}
		exchange.Evidence{Table: &to}.Merge(membership.Member{}, d)
	}
	if got := len(to.Totals("m")); got != 3000 {
		t.Errorf("after 60 digests: got %d counters, want 3000", got)
	}
}
