package pool

import (
	"sync/atomic"

	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
)

// conditions hold what decides on the use of servers besides the servers themselves.
// All Workers of a Pool share them.
type conditions struct {
	domains   atomic.Pointer[evacuation.Set]
	cold      atomic.Pointer[ColdStart]
	coldSends atomic.Int64
}

// EvacuatedDomains returns the evacuated failure domains. The result may be nil, which
// is an empty set.
func (p *Pool) EvacuatedDomains() *evacuation.Set { return p.conditions.domains.Load() }

// SetEvacuatedDomains replaces the evacuated failure domains. It takes effect at once,
// also on requests for which a server has been chosen but not acquired.
func (p *Pool) SetEvacuatedDomains(s *evacuation.Set) { p.conditions.domains.Store(s) }

// Evacuated reports whether the server is in an evacuated failure domain.
func (w *Worker) Evacuated() bool { return w.conditions.domains.Load().IsEvacuated(w.FailureDomain) }
