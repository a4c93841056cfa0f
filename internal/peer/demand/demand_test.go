package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Guards against demand that is sent each second though it does not change.
func TestDemandTravelsWhenItChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Config{Node: "a", Domain: "d", Now: func() time.Time { return now }})
	version := func() uint64 {
		return b.Digest(membership.Member{FailureDomain: "d"}, 0, new(peerpb.Digest))
	}
	put := func(rate float64) {
		now = now.Add(time.Second)
		b.Publish(Demand{Node: "a", Use: Use{"e", "w"}, Rate: rate, At: now})
	}
	put(10)
	first := version()
	put(10.5)
	is.Equal(version(), first) // a change of 5%
	put(12)
	second := version()
	is.True(second > first) // a change of 20%
	for range int(Repeat / time.Second) {
		put(12)
	}
	is.True(version() > second) // repeated before it expires
	var _ exchange.Source = b
}
