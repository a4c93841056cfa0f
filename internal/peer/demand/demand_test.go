package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Guards against demand that is sent every second although it does not change.
func TestDemandIsPublishedWhenItChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Config{Node: "a", Domain: "d", Now: func() time.Time { return now }})
	version := func() uint64 {
		return b.Digest(membership.Member{FailureDomain: "d"}, 0, new(peerpb.Digest))
	}
	publish := func(rate float64) {
		now = now.Add(time.Second)
		b.Publish(Demand{Node: "a", WorkspaceEntry: WorkspaceEntry{"e", "w"}, Rate: rate, At: now})
	}
	publish(10)
	first := version()
	publish(10.5)
	is.Equal(version(), first) // a change of 5%
	publish(12)
	second := version()
	is.True(second > first) // a change of 20%
	for range int(RepublishPeriod / time.Second) {
		publish(12)
	}
	is.True(version() > second) // repeated before it expires
	var _ exchange.Source = b
}
