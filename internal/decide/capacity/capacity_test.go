package capacity

import "testing"

func service(need float64, reclaimable ...int) Service {
	s := Service{
		Domains: []Domain{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}},
		Min:     1, Max: 10, ReclaimablePrice: 0.15, Need: need,
	}
	for i, n := range reclaimable {
		s.Domains[i].Reclaimable = n
	}
	return s
}

// Guards against orders beyond the bounds, a remainder in dear domains, and a
// load that nobody carries: reclaimable servers that are not there yet, that
// were taken away, or that a domain may lose at any moment do not count.
func TestPlan(t *testing.T) {
	priced := func(price float64) Service {
		s := service(13, 9, 9, 9, 9)
		s.ReclaimablePrice = price
		return s
	}
	tests := []struct {
		name                  string
		service               Service
		ordinary, reclaimable int
		extraIn               string // the domain that gets the remainder
	}{
		{"none yet", service(13), 13, 27, "b"},
		{"some are there", service(13, 2, 2, 2, 2), 7, 33, ""},
		{"enough when a domain loses its own", service(13, 5, 5, 5, 5), 4, 36, ""},
		{"all in one domain", service(13, 20), 13, 27, "b"},
		{"two domains have lost theirs", service(13, 5, 5, 0, 0), 8, 32, ""},
		{"no need", service(0), 4, 0, ""},
		{"above the bounds", service(100), 40, 0, ""},
		{"no reclaimable ones", func() Service { s := service(13); s.ReclaimablePrice = 0; return s }(), 13, 0, "b"},
		{"dear reclaimable ones", func() Service { s := service(13); s.ReclaimablePrice = 0.9; return s }(), 13, 0, "b"},
		{"price went up", priced(0.9), 4, 0, ""},
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
		if tt.extraIn != "" && in != tt.extraIn {
			t.Errorf("%s: the remainder is in %s, want %s", tt.name, in, tt.extraIn)
		}
	}
	if got := Plan(Service{}); got != nil {
		t.Errorf("no domain: got %v, want none", got)
	}
}

// Guards against a fleet that shrinks below its least while it is idle, grows
// without end while streams are late, or follows a handful of requests.
func TestNext(t *testing.T) {
	const planned = 18
	steps := []struct {
		name        string
		load        Load
		times       int
		least, most float64
	}{
		{"on time", Load{Prompts: 200}, 50, start * planned, start * planned},
		{"late once", Load{Prompts: 200, Late: 40}, 1, start * planned * 1.1, most * planned},
		{"few requests, all late", Load{Prompts: 5, Late: 5}, 50, start * planned * 1.1, start * planned * 1.5},
		{"always late", Load{Prompts: 200, Late: 100}, 50, most * planned, most * planned},
		{"on time again", Load{Prompts: 200}, 50, start * planned, start * planned},
	}
	have := Next(0, planned, Load{})
	for _, s := range steps {
		for range s.times {
			have = Next(have, planned, s.load)
		}
		if have < s.least-1e-9 || have > s.most+1e-9 {
			t.Errorf("%s: got a need of %v, want %v to %v", s.name, have, s.least, s.most)
		}
	}
}
