package capacity

import "testing"

func newService(need float64, reclaimable ...int) Service {
	s := Service{
		Domains: []Domain{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}},
		Min:     1, Max: 10, ReclaimablePrice: 0.15, Need: need,
	}
	for i, n := range reclaimable {
		s.Domains[i].Reclaimable = n
	}
	return s
}

// Guards against orders outside the bounds, a remainder in expensive domains, and
// load that no server covers. Reclaimable servers that have not started yet, that
// were taken away, or that two domains may lose at any moment must not count
// towards the need.
func TestPlanCoversNeedWithinBounds(t *testing.T) {
	priced := func(price float64) Service {
		s := newService(13, 9, 9, 9, 9)
		s.ReclaimablePrice = price
		return s
	}
	tests := []struct {
		name                  string
		service               Service
		ordinary, reclaimable int
		remainderIn           string // domain with the most ordinary servers; "" if there is no remainder
	}{
		{"no reclaimable servers yet", newService(13), 13, 27, "b"},
		{"too few reclaimable servers", newService(13, 2, 2, 2, 2), 9, 31, "b"},
		{"enough remain after two domains' loss", newService(13, 5, 5, 5, 5), 4, 36, ""},
		{"all reclaimable servers in one domain", newService(13, 20), 13, 27, "b"},
		{"two domains lost their reclaimable servers", newService(13, 5, 5, 0, 0), 13, 27, "b"},
		{"no need", newService(0), 1, 3, "b"},
		{"small need, enough reclaimable servers", newService(5.4, 5, 5, 5, 5), 2, 20, ""},
		{"small need, one domain lost its reclaimable servers", newService(5.4, 5, 5, 0, 5), 2, 20, ""},
		{"small need, three domains lost their reclaimable servers", newService(5.4, 5, 0, 0, 0), 6, 20, ""},
		{"small need without reclaimable servers", func() Service { s := newService(5.4); s.ReclaimablePrice = 0; return s }(), 6, 0, ""},
		{"need above the bounds", newService(100), 40, 0, ""},
		{"service without reclaimable servers", func() Service { s := newService(13); s.ReclaimablePrice = 0; return s }(), 13, 0, "b"},
		{"expensive reclaimable servers", func() Service { s := newService(13); s.ReclaimablePrice = 0.9; return s }(), 13, 0, "b"},
		{"price rose with reclaimable servers running", priced(0.9), 4, 0, ""},
	}
	for _, tt := range tests {
		ordinary, reclaimable := 0, 0
		most, in := 0, ""
		for _, o := range Plan(tt.service) {
			ordinary += o.Ordinary
			reclaimable += o.Reclaimable
			if n := o.Ordinary + o.Reclaimable; n < tt.service.Min || n > tt.service.Max {
				t.Errorf("%s: got %d servers in %s, want %d to %d", tt.name, n, o.Domain, tt.service.Min, tt.service.Max)
			}
			if o.Ordinary > most {
				most, in = o.Ordinary, o.Domain
			}
		}
		if ordinary != tt.ordinary || reclaimable != tt.reclaimable {
			t.Errorf("%s: got %d ordinary and %d reclaimable, want %d and %d", tt.name, ordinary, reclaimable, tt.ordinary, tt.reclaimable)
		}
		if tt.remainderIn != "" && in != tt.remainderIn {
			t.Errorf("%s: the remainder is in %s, want %s", tt.name, in, tt.remainderIn)
		}
	}
	if got := Plan(Service{}); got != nil {
		t.Errorf("no domain: got %v, want none", got)
	}
}

// Guards against a need that falls below its minimum while the service is idle,
// grows without bound while streams are late, or reacts to a handful of requests.
func TestNeedFollowsLateStreamsWithinBounds(t *testing.T) {
	const planned = 18
	steps := []struct {
		name        string
		load        Load
		times       int
		least, most float64
	}{
		{"on time", Load{Prompts: 200}, 50, minFraction * planned, minFraction * planned},
		{"late once", Load{Prompts: 200, Late: 40}, 1, minFraction * planned * 1.1, maxFraction * planned},
		{"few requests, all late", Load{Prompts: 5, Late: 5}, 50, minFraction * planned * 1.1, minFraction * planned * 1.5},
		{"always late", Load{Prompts: 200, Late: 100}, 50, maxFraction * planned, maxFraction * planned},
		{"on time again", Load{Prompts: 200}, 50, minFraction * planned, minFraction * planned},
	}
	need := NextNeed(0, planned, Load{})
	for _, s := range steps {
		for range s.times {
			need = NextNeed(need, planned, s.load)
		}
		if need < s.least-1e-9 || need > s.most+1e-9 {
			t.Errorf("%s: got a need of %v, want %v to %v", s.name, need, s.least, s.most)
		}
	}
}
