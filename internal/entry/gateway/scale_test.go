package gateway

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/capacity"
	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against servers that were taken away and are not ordered again for long,
// against orders that are repeated although all servers run, and against calls every
// other second while no server is to be had.
func TestOrdersAreRepeatedWhileServersAreMissing(t *testing.T) {
	refused := errors.New("no server is available")
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		desired int
		err     error
		// missing and running are the times until the order is sent again while
		// servers are missing, and while all of them run.
		missing, running time.Duration
	}{
		{"refused", 4, refused, minRetryDelay, repeatDelay},
		{"refused again", 4, refused, 2 * minRetryDelay, repeatDelay},
		{"refused a third time", 4, refused, 4 * minRetryDelay, repeatDelay},
		{"refused a fourth time", 4, refused, maxRetryDelay, repeatDelay},
		{"accepted", 4, nil, refillDelay, repeatDelay},
		{"refused after servers were taken away", 4, refused, minRetryDelay, repeatDelay},
		{"another number refused", 5, refused, minRetryDelay, repeatDelay},
		{"another number accepted", 5, nil, refillDelay, repeatDelay},
	}
	o := sentOrder{}
	for _, tt := range tests {
		o = o.next(tt.desired, now, tt.err)
		for _, c := range []struct {
			running int
			want    time.Duration
		}{{tt.desired - 1, tt.missing}, {tt.desired, tt.running}} {
			if o.due(tt.desired, c.running, now.Add(c.want-1)) || !o.due(tt.desired, c.running, now.Add(c.want)) {
				t.Errorf("%s, %d of %d run: want the order sent again after %v", tt.name, c.running, tt.desired, c.want)
			}
		}
		if !o.due(tt.desired+1, tt.desired, now) {
			t.Errorf("%s: another number is not sent at once", tt.name)
		}
	}
}

// revisionStore accepts commits whose only condition is that the key is at a revision.
type revisionStore struct {
	store.Store
	revision int64
}

func (s revisionStore) Commit(_ context.Context, c store.Commit) (int64, error) {
	if c.Conditions[0].Revision != s.revision {
		return 0, store.ErrConflict
	}
	return s.revision + 1, nil
}

// Guards against a service whose servers are never ordered, because its planned number
// in the store is invalid and stays there.
func TestInvalidPlannedNumberIsReplaced(t *testing.T) {
	for _, value := range []string{"", "\xff", "0", "-3", "1e999", "99999999999999999999", "9223372036854775807", "{}"} {
		f := newApplying()
		now := time.Unix(1000, 0)
		f.now = func() time.Time { return now }
		f.config.Store = revisionStore{revision: 7}
		f.pool.Put(pool.Registration{ID: "a", Service: "s"}, now)
		f.applyPlan(store.Item{Key: planPrefix + "s", Value: []byte(value), Revision: 7})
		s := &scaler{instance: f, counts: make(map[string]serverCount)}
		if n, ok := s.planned(t.Context(), "s"); ok {
			t.Errorf("value %q: got %d planned servers before their number was stable", value, n)
		}
		now = now.Add(stableTime)
		if n, ok := s.planned(t.Context(), "s"); !ok || n != 1 {
			t.Errorf("value %q: got %d planned servers and %v, want the number of servers, 1", value, n, ok)
		}
	}
}

// Guards against orders for an evacuated failure domain, which would scale up or release
// what runs there, and against a need that the other domains do not cover meanwhile.
func TestEvacuatedDomainGetsNoOrders(t *testing.T) {
	f := newApplying()
	service := &routes.Service{Name: "s", Scaling: &routes.Scaling{Min: 1, Max: 10, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}}
	s := &scaler{instance: f}
	tests := []struct {
		evacuated []string
		want      map[string]int // ordinary servers by domain
	}{
		{nil, map[string]int{"a": 2, "b": 2, "c": 2}},
		{[]string{"b"}, map[string]int{"a": 3, "c": 3}},
		{[]string{"a", "b", "c"}, map[string]int{}},
		{nil, map[string]int{"a": 2, "b": 2, "c": 2}},
	}
	for i, tt := range tests {
		u := evacuation.Update{Complete: true, Revision: int64(i) + 1}
		for _, domain := range tt.evacuated {
			u.Changes = append(u.Changes, evacuation.Change{Domain: domain, Revision: u.Revision})
		}
		next, _ := f.pool.EvacuatedDomains().Apply(u, f.now())
		f.pool.SetEvacuatedDomains(next)
		got := make(map[string]int)
		for _, o := range capacity.Plan(capacity.Service{Domains: s.domains(service, nil), Min: 1, Max: 10, Need: 6}) {
			got[o.Domain] = o.Ordinary
		}
		if !maps.Equal(got, tt.want) {
			t.Errorf("%v evacuated: got orders %v, want %v", tt.evacuated, got, tt.want)
		}
	}
}
