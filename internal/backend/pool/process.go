package pool

import "sync/atomic"

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
	leaving atomic.Bool // never reset
}

// processStates holds the states of the registered processes and of those that
// were removed last. The caller synchronizes the calls of its methods.
type processStates struct {
	states map[processKey]*processState
	// removed lists the removed processes, the oldest first. A process that
	// registers again stays in the list until its turn comes.
	removed []processKey
}

// get returns the state of the process of s.
func (p *processStates) get(s *Registration) *processState {
	key := s.process()
	state, ok := p.states[key]
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
