package fleet

import (
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// Guards against a load report that causes a panic, or whose negative counts make
// a server attract all requests or lower the capacity of its entry.
func FuzzReport(f *testing.F) {
	f.Add("1", 1, 2, 16, int64(0), false)
	f.Add("", -1, -1, -1000, int64(1), false)
	f.Add("2", 1<<62, 1<<62, 1<<62, int64(-1), true)
	f.Fuzz(func(t *testing.T, incarnation string, running, queued, capacity int, at int64, leaving bool) {
		fl := New(Config{})
		fl.SetInstances([]ListedServer{{ID: "a", Address: "127.0.0.1:1", Entry: "e", Polled: true}, {ID: "b", Address: "127.0.0.1:2", Entry: "e", Polled: true}})
		fl.Report(Report{Backend: "b", Capacity: 16, At: time.Now()})
		fl.Report(Report{Backend: "a", Incarnation: incarnation, Running: running, Queued: queued, Capacity: capacity, At: time.Unix(0, at), Leaving: leaving})
		view := fl.View("e")
		for _, b := range view {
			if b.Running < 0 || b.Queued < 0 || b.Capacity < 0 {
				t.Errorf("report of %d running, %d queued, capacity %d: got %+v", running, queued, capacity, b)
			}
		}
		if _, ok := (route.Affinity{}).Pick(view, route.Request{Entry: "e"}, time.Now(), 1); !ok {
			t.Errorf("no server is picked from %+v", view)
		}
	})
}
