package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// Guards against a price or tokens that are counted twice, or lost when an
// engine restarts as a new incarnation.
func TestMeterSumsCostAndTokens(t *testing.T) {
	is := is.New(t)
	m := newMeter(nil)
	m.baseline["e1/a"] = engine.Totals{Recomputed: 10}
	m.setLatest("e1/a", engine.Totals{Recomputed: 30, Generated: 5})
	m.setLatest("e1/b", engine.Totals{Recomputed: 7})
	m.setLatest("e1/b", engine.Totals{Recomputed: 8})
	backend := instances.Instance{Role: instances.RoleBackend, Price: 0.5}
	start := time.Unix(0, 0)
	m.addCost(start, []instances.Instance{backend, backend, {Role: instances.RoleEntry, Price: 9}})
	m.addCost(start.Add(time.Hour), []instances.Instance{backend})
	m.addCost(start.Add(2*time.Hour), nil)
	cost, tokens := m.totals()
	is.Equal(cost, 1.5)
	is.Equal(tokens, engine.Totals{Recomputed: 28, Generated: 5})
}
