package pool

import (
	"slices"
	"sync/atomic"
	"time"
)

// maxRemovedProcesses bounds the processes that are remembered after their
// removal.
const maxRemovedProcesses = 1024

// processKey identifies one process of a backend server.
type processKey struct {
	id, address string
	incarnation int64
}

func (s *Registration) process() processKey {
	return processKey{id: s.ID, address: s.Address, incarnation: s.Incarnation}
}

// processState is what is known about a process whatever its registration says. All
// Workers of the process share it: a registration may disappear and return, or
// change, while the process and its state remain the same.
type processState struct {
	leaving atomic.Bool  // never reset
	retryAt atomic.Int64 // on the clock of package boottime, in nanoseconds
	cold    coldState
	// lastSend is when this instance last sent a request there, and paceUsed the time up to
	// which it has used its part of the server's limit, both as retryAt.
	lastSend, paceUsed atomic.Int64
	paced              atomic.Pointer[pacedSends]
}

// MarkLeaving records that the process of the server is leaving, for good. It
// reports whether that was not known before.
func (w *Worker) MarkLeaving() bool { return !w.state.leaving.Swap(true) }

// SetRetryAt records that the server wants no requests of this instance before at.
// An earlier time than the current one has no effect.
func (w *Worker) SetRetryAt(at time.Time) { storeMax(&w.state.retryAt, at.UnixNano()) }

// RetryAt returns the time before which the server gets no requests of this instance
// as of now, which may have passed.
func (w *Worker) RetryAt(now time.Time) time.Time {
	at := time.Unix(0, w.state.retryAt.Load())
	for _, other := range []time.Time{w.coldRetryAt(now), w.pacedRetryAt(now)} {
		if other.After(at) {
			at = other
		}
	}
	return at
}

// Accepts reports whether the server may get new requests at now.
func (w *Worker) Accepts(now time.Time) bool {
	return w.Usable() && now.UnixNano() >= w.state.retryAt.Load() && w.admitsCold(now) && w.admitsPaced(now)
}

// AcceptsForPeer reports whether a request of another instance may be sent to the server at
// now. That instance keeps its own part of the limits of cold and limited servers.
func (w *Worker) AcceptsForPeer(now time.Time) bool {
	return w.Usable() && now.UnixNano() >= w.state.retryAt.Load()
}

// Acquire reports whether a request may be sent to the server at now. It is called
// directly before each request, since a server that was chosen may accept none by
// then. Of concurrent calls for a server that is cold or limited one succeeds.
func (w *Worker) Acquire(now time.Time) bool {
	last := w.state.lastSend.Load()
	if !w.Accepts(now) || !w.acquirePaced(now) {
		return false
	}
	if !w.Cold(now) {
		storeMax(&w.state.lastSend, now.UnixNano())
		return true
	}
	if !w.state.lastSend.CompareAndSwap(last, max(last, now.UnixNano())) {
		return false
	}
	w.shared.coldSends.Add(1)
	return true
}

// processStates holds the states of the registered processes and of those that
// were removed last. The caller synchronizes the calls of its methods.
type processStates struct {
	states map[processKey]*processState
	// removed lists the removed processes, each once, the oldest first.
	removed []processKey
}

// get returns the state of the process of s.
func (p *processStates) get(s *Registration) *processState {
	key := s.process()
	state, ok := p.states[key]
	if i := slices.Index(p.removed, key); ok && i >= 0 {
		p.removed = slices.Delete(p.removed, i, i+1)
	}
	if !ok {
		state = new(processState)
		p.states[key] = state
	}
	return state
}

// remove records that the process of s is no longer registered. registered reports
// whether a process is registered.
func (p *processStates) remove(s *Registration, registered func(processKey) bool) {
	if s.Incarnation == 0 {
		// A later process of the server could not be told apart from this one.
		delete(p.states, s.process())
		return
	}
	p.removed = append(p.removed, s.process())
	if len(p.removed) <= maxRemovedProcesses {
		return
	}
	oldest := p.removed[0]
	p.removed = p.removed[1:]
	if !registered(oldest) {
		delete(p.states, oldest)
	}
}

// Process identifies the process of the server among those that run under any ID.
func (w *Worker) Process() string { return w.processID }
