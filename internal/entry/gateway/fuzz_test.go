package gateway

import (
	"net/netip"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against a value below the instances' own keys that panics an instance, names
// an instance that cannot be reached, or gives a new version requests without an order.
func FuzzApplyOwnKeys(f *testing.F) {
	f.Add([]byte(`{"id":"a","incarnation":1,"failure-domain":"z","peer-address":"10.0.0.1:80","capacity":1000}`))
	f.Add([]byte(`{"id":"a","incarnation":-9223372036854775808,"peer-address":"[::1]:65535","capacity":9223372036854775807}`))
	f.Add([]byte(`{"id":"a","peer-address":"10.0.0.1:70000"}`))
	f.Add([]byte(`{"id":"move/a/v2/3","service":"a","to":"v2","start":"0000-01-01T00:00:00Z","deadline":"9999-01-01T00:00:00Z","finish":"9999-01-01T00:00:00Z","state":"running"}`))
	f.Add([]byte(`{"id":"move/a/v2/3","service":"a","to":"v2","start":"2026-01-01T00:00:00Z","deadline":"2026-01-01T00:00:00Z","finish":"2026-01-01T00:00:00Z","state":"running"}`))
	f.Add([]byte("12"))
	f.Add([]byte("a 1e999"))
	f.Add([]byte("[[[[[[[[[[[["))
	f.Fuzz(func(t *testing.T, value []byte) {
		i := newApplying()
		i.mover = newMover(i)
		i.mover.orders["a"] = receivedOrder{MoveOrder: MoveOrder{Service: "a", To: "v2", Within: time.Minute}, revision: 3, receivedAt: time.Now()}
		for n, prefix := range []string{instancesPrefix, movesPrefix, planPrefix} {
			// Not through applyItem, which recovers panics.
			item := store.Item{Key: prefix + "a", Value: value, Revision: int64(n) + 4}
			switch prefix {
			case instancesPrefix:
				i.applyInstance(item)
			case movesPrefix:
				i.mover.applyRecord(item)
			case planPrefix:
				i.applyPlan(item)
			}
		}
		i.duty.Apply(store.Item{Key: dutyKey, Value: value, Revision: 9})
		i.publishInstances()
		i.mover.decide(time.Now())
		i.apply(follow.Change{Complete: true, Revision: 10})
		if m, ok := i.registered["a"]; ok {
			if a, err := netip.ParseAddrPort(m.PeerAddress); err != nil || a.Port() == 0 {
				t.Errorf("%q: got an instance at %q", value, m.PeerAddress)
			}
		}
		if n, ok := i.plannedServers.Load("a"); ok && (n.(int) < 1 || n.(int) > maxPlannedServers) {
			t.Errorf("%q: got %d planned servers", value, n)
		}
	})
}
