package pool

import (
	"sync/atomic"

	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// sharedState is the state that all Workers of a Pool share: what the use of a server
// depends on besides the server itself, and a count over all servers.
type sharedState struct {
	domains   atomic.Pointer[evacuation.Set]
	cold      atomic.Pointer[ColdStart]
	coldSends atomic.Int64

	limits     pacing.Limits
	senders    atomic.Pointer[Senders]
	pacedSends atomic.Int64

	brittle brittleServices
}

// EvacuatedDomains returns the evacuated failure domains. The result may be nil, which
// is an empty set.
func (p *Pool) EvacuatedDomains() *evacuation.Set { return p.shared.domains.Load() }

// SetEvacuatedDomains replaces the evacuated failure domains. It takes effect at once,
// also on requests for which a server has been chosen but not acquired.
func (p *Pool) SetEvacuatedDomains(s *evacuation.Set) { p.shared.domains.Store(s) }

// Evacuated reports whether the server is in an evacuated failure domain.
func (w *Worker) Evacuated() bool { return w.shared.domains.Load().IsEvacuated(w.FailureDomain) }
