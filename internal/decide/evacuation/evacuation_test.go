package evacuation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1000, 0)

func put(domain string, revision int64) Change { return Change{Domain: domain, Revision: revision} }

func remove(domain string, revision int64) Change {
	return Change{Domain: domain, Revision: revision, Removed: true}
}

// Guards against an evacuation that ends by an item older than its key, or that
// outlasts a full listing without the key; and against one that does not end.
func TestEvacuationHoldsWhileItsKeyExists(t *testing.T) {
	tests := []struct {
		name    string
		updates []Update
		want    []string
	}{
		{"key", []Update{{Changes: []Change{put("a", 5)}}}, []string{"a"}},
		{"key removed", []Update{{Changes: []Change{put("a", 5)}}, {Changes: []Change{remove("a", 6)}}}, nil},
		{"removal of an earlier key", []Update{{Changes: []Change{put("a", 5)}}, {Changes: []Change{remove("a", 4)}}}, []string{"a"}},
		{"earlier key after the removal", []Update{{Changes: []Change{put("a", 5), remove("a", 6), put("a", 5)}}}, nil},
		{"written again", []Update{{Changes: []Change{put("a", 5), remove("a", 6), put("a", 7)}}}, []string{"a"}},
		{"listing without the key", []Update{{Changes: []Change{put("a", 5)}}, {Complete: true, Revision: 9}}, nil},
		{"listing with the key", []Update{{Changes: []Change{put("a", 5)}}, {Changes: []Change{put("a", 5)}, Complete: true, Revision: 9}}, []string{"a"}},
		{"listing older than the key", []Update{{Changes: []Change{put("a", 10)}}, {Complete: true, Revision: 9}}, []string{"a"}},
		{"two domains, one returned", []Update{{Changes: []Change{put("a", 5), put("b", 6)}}, {Changes: []Change{remove("a", 7)}}}, []string{"b"}},
	}
	for _, tt := range tests {
		var s *Set
		for _, u := range tt.updates {
			s, _ = s.Apply(u, epoch)
		}
		if got := s.Domains(); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v evacuated, want %v", tt.name, got, tt.want)
		}
		for _, domain := range []string{"a", "b"} {
			if got, want := s.Use(domain, epoch) == Evacuated, slices.Contains(tt.want, domain); got != want {
				t.Errorf("%s: domain %s evacuated is %v, want %v", tt.name, domain, got, want)
			}
		}
	}
}

// Guards against log lines for repeated deliveries of the same key, and against a
// change without one.
func TestTransitionsAreReportedOnce(t *testing.T) {
	var s *Set
	steps := []struct {
		update Update
		want   []Transition
	}{
		{Update{Changes: []Change{put("a", 5)}}, []Transition{{"a", true, 5}}},
		{Update{Changes: []Change{put("a", 5)}, Complete: true, Revision: 6}, nil},
		{Update{Changes: []Change{put("a", 7)}}, nil},
		{Update{Changes: []Change{put("b", 8), remove("a", 9)}}, []Transition{{"b", true, 8}, {"a", false, 9}}},
		{Update{Complete: true, Revision: 12}, []Transition{{"b", false, 12}}},
	}
	for i, step := range steps {
		var got []Transition
		s, got = s.Apply(step.update, epoch)
		if !slices.Equal(got, step.want) {
			t.Errorf("step %d: got %v, want %v", i, got, step.want)
		}
	}
}

// Guards against a returned domain that is used like one that was never evacuated,
// or that never gets there; and against memory that grows with past evacuations.
func TestReturnedDomainIsReturningForAWhile(t *testing.T) {
	s, _ := (*Set)(nil).Apply(Update{Changes: []Change{put("a", 5)}}, epoch)
	s, _ = s.Apply(Update{Changes: []Change{remove("a", 6)}}, epoch.Add(time.Minute))
	returned := epoch.Add(time.Minute)
	for after, want := range map[time.Duration]Use{0: Returning, ReturnTime - 1: Returning, ReturnTime: InUse} {
		if got := s.Use("a", returned.Add(after)); got != want {
			t.Errorf("%v after the return: got %v, want %v", after, got, want)
		}
	}
	if got := s.Use("b", returned); got != InUse {
		t.Errorf("another domain: got %v, want in use", got)
	}
	if got := s.ReturnedAt("a"); !got.Equal(returned) {
		t.Errorf("got returned at %v, want %v", got, returned)
	}
	s, _ = s.Apply(Update{Changes: []Change{put("c", 9)}}, returned.Add(keepReturned))
	if len(s.states) != 1 {
		t.Errorf("got %d domains kept, want only the evacuated one", len(s.states))
	}
}

// Guards against instances that disagree for good, because they got the same history
// of the store in different pieces, with repeated items, or as listings.
func TestInstancesWithDifferentViewsAgree(t *testing.T) {
	domains := []string{"a", "b", "c", "d"}
	for _, instances := range []int{68, 360} {
		random := rand.New(rand.NewPCG(uint64(instances), 1))
		var history []Change
		present := make(map[string]int64)
		for revision := int64(1); revision <= 200; revision++ {
			domain := domains[random.IntN(len(domains))]
			if random.IntN(2) == 0 {
				history = append(history, put(domain, revision))
				present[domain] = revision
			} else {
				history = append(history, remove(domain, revision))
				delete(present, domain)
			}
		}
		for i := range instances {
			s := replay(random, history)
			for _, domain := range domains {
				_, want := present[domain]
				if got := s.Use(domain, epoch) == Evacuated; got != want {
					t.Fatalf("instance %d of %d: domain %s evacuated is %v, want %v", i, instances, domain, got, want)
				}
			}
		}
	}
}

// replay applies history in random pieces that overlap, with full listings between.
func replay(random *rand.Rand, history []Change) *Set {
	var s *Set
	listing := func(revision int) Update {
		present := make(map[string]Change)
		for _, c := range history[:revision] {
			present[c.Domain] = c
		}
		u := Update{Complete: true, Revision: int64(revision)}
		for _, c := range present {
			if !c.Removed {
				u.Changes = append(u.Changes, c)
			}
		}
		return u
	}
	for next := 0; next < len(history); {
		if random.IntN(8) == 0 {
			s, _ = s.Apply(listing(next), epoch)
		}
		from, to := max(0, next-random.IntN(5)), min(len(history), next+1+random.IntN(20))
		s, _ = s.Apply(Update{Changes: history[from:to]}, epoch)
		next = to
	}
	return s
}
