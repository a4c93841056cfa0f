package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Use is how a failure domain is used.
type Use uint8

// Uses of a failure domain.
const (
	// InUse means that the domain's servers get requests.
	InUse Use = iota
	// Returning means that the domain was returned to service less than ReturnTime
	// ago: its servers get requests like ones that have just joined.
	Returning
	// Evacuated means that the domain's servers get no requests.
	Evacuated
)

const (
	// ReturnTime is how long a domain counts as returning.
	ReturnTime = 10 * time.Second
	// keepReturned is how long a returned domain is remembered, so that a late item
	// older than the removal of its key has no effect.
	keepReturned = time.Minute
)

// Change is a change of the key that evacuates a domain.
type Change struct {
	Domain   string
	Revision int64
	Removed  bool
}

// Update holds changes in the order in which they are to be applied. If Complete is
// set, they list all keys as of Revision.
type Update struct {
	Changes  []Change
	Complete bool
	Revision int64
}

// Transition is the evacuation or the return of a domain by the key's change at
// Revision, or by a listing at Revision that lacks the key.
type Transition struct {
	Domain    string
	Evacuated bool
	Revision  int64
}

// Set holds the evacuated failure domains. It is immutable; nil is an empty set.
type Set struct {
	states map[string]state
}

// state is what is known of a domain that is or was evacuated.
type state struct {
	revision   int64
	evacuated  bool
	returnedAt time.Time // zero if evacuated
}

// Apply returns the set after an update that arrived at now, and the transitions in
// the order in which they came about. A change has no effect if a later one of the
// same key is known, and a listing has none on later keys: the pages of a listing are
// not a consistent snapshot.
func (s *Set) Apply(u Update, now time.Time) (next *Set, transitions []Transition) {
	before := s.all()
	states := make(map[string]state, len(before)+len(u.Changes))
	for domain, known := range before {
		if known.evacuated || now.Sub(known.returnedAt) < keepReturned {
			states[domain] = known
		}
	}
	listed := make(map[string]bool, len(u.Changes))
	for _, c := range u.Changes {
		listed[c.Domain] = !c.Removed
		known := states[c.Domain]
		if c.Revision < known.revision {
			continue
		}
		if known.evacuated == c.Removed {
			transitions = append(transitions, Transition{c.Domain, !c.Removed, c.Revision})
		}
		states[c.Domain] = changed(known, c, now)
	}
	if u.Complete {
		transitions = append(transitions, returnUnlisted(states, listed, u.Revision, now)...)
	}
	return &Set{states: states}, transitions
}

// returnUnlisted changes states after a listing of all keys at a revision: domains that it
// lacks are returned to service.
func returnUnlisted(states map[string]state, listed map[string]bool, revision int64, now time.Time) (transitions []Transition) {
	for _, domain := range slices.Sorted(maps.Keys(states)) {
		known := states[domain]
		if !known.evacuated || listed[domain] || known.revision > revision {
			continue
		}
		states[domain] = changed(known, Change{Domain: domain, Revision: revision, Removed: true}, now)
		transitions = append(transitions, Transition{domain, false, revision})
	}
	return transitions
}

// changed returns the state of a domain after a change of its key.
func changed(known state, c Change, now time.Time) state {
	next := state{revision: c.Revision, evacuated: !c.Removed}
	if known.evacuated && c.Removed {
		next.returnedAt = now
	} else if c.Removed {
		next.returnedAt = known.returnedAt
	}
	return next
}

func (s *Set) all() map[string]state {
	if s == nil {
		return nil
	}
	return s.states
}

// Use returns how a domain is used at now.
func (s *Set) Use(domain string, now time.Time) Use {
	known := s.all()[domain]
	switch {
	case known.evacuated:
		return Evacuated
	case !known.returnedAt.IsZero() && now.Sub(known.returnedAt) < ReturnTime:
		return Returning
	}
	return InUse
}

// IsEvacuated reports whether the servers of a domain get no requests.
func (s *Set) IsEvacuated(domain string) bool { return s.all()[domain].evacuated }

// ReturnedAt returns when a domain was returned to service, or the zero time if that
// is long ago or it never was evacuated.
func (s *Set) ReturnedAt(domain string) time.Time { return s.all()[domain].returnedAt }

// Domains returns the names of the evacuated domains in order.
func (s *Set) Domains() (names []string) {
	for domain, known := range s.all() {
		if known.evacuated {
			names = append(names, domain)
		}
	}
	slices.Sort(names)
	return names
}
