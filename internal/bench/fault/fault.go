package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// ErrInvalid means that a fault was not accepted: its kind or target is unknown,
// its value is invalid, or too many faults are active.
var ErrInvalid = errors.New("invalid fault")

// maxFaults bounds the number of active faults.
const maxFaults = 1000

// Fault is a fault of a fake server.
type Fault struct {
	Kind string `json:"kind"`
	// Target restricts the fault to a part of the platform.
	Target string `json:"target,omitempty"`
	// Value is the fault's argument; its meaning depends on the kind.
	Value string `json:"value,omitempty"`
	// Version restricts the fault to requests for a version.
	Version string `json:"version,omitempty"`
	// Until is when the fault ends. With the zero time, the fault lasts until
	// it is replaced or cleared; a past time removes it.
	Until time.Time `json:"until,omitzero"`
	// Since is when the fault was injected.
	Since time.Time `json:"-"`
}

// Set holds active faults and is safe for concurrent use. A fault replaces an
// earlier one of the same kind, target and version.
type Set struct {
	now   func() time.Time
	check func(Fault) error

	mu      sync.Mutex
	faults  []Fault
	changed chan struct{}
}

// NewSet returns an empty set that accepts faults for which check returns nil.
func NewSet(now func() time.Time, check func(Fault) error) *Set {
	return &Set{now: now, check: check, changed: make(chan struct{})}
}

// Inject adds, replaces or removes a fault. Its errors wrap ErrInvalid.
func (s *Set) Inject(f Fault) error {
	if err := s.check(f); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	f.Since = s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.DeleteFunc(s.faults, func(g Fault) bool {
		same := g.Kind == f.Kind && g.Target == f.Target && g.Version == f.Version
		return same || g.ended(f.Since)
	})
	if !f.ended(f.Since) {
		if len(s.faults) >= maxFaults {
			return fmt.Errorf("%w: more than %d faults are active", ErrInvalid, maxFaults)
		}
		s.faults = append(s.faults, f)
	}
	s.notify()
	return nil
}

// Changed returns a channel that is closed at the next call of Inject or
// Clear. It is not closed when a fault reaches its end time.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Set) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Clear removes all faults.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
	s.notify()
}

// Find returns the first active fault of a kind for which match returns true; a
// nil match accepts all.
func (s *Set) Find(kind string, match func(Fault) bool) (Fault, bool) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.faults {
		if f.Kind == kind && !f.ended(now) && (match == nil || match(f)) {
			return f, true
		}
	}
	return Fault{}, false
}

func (f Fault) ended(now time.Time) bool {
	return !f.Until.IsZero() && !f.Until.After(now)
}

// Handler returns a handler of POST /faults that calls inject with the decoded
// fault.
func Handler(inject func(Fault) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, "invalid fault: "+err.Error(), http.StatusBadRequest)
			return
		}
		if err := inject(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// AllowKinds returns a check for NewSet that allows only the given kinds.
func AllowKinds(kinds ...string) func(Fault) error {
	return func(f Fault) error {
		if !slices.Contains(kinds, f.Kind) {
			return fmt.Errorf("kind %q is not one of %s", f.Kind, strings.Join(kinds, ", "))
		}
		return nil
	}
}
