package engine

import (
	"strings"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// Inject applies a fault of a kind that package fault defines.
func (s *Server) Inject(f fault.Fault) error {
	if err := s.faults.Inject(f); err != nil {
		return err
	}
	if f.Kind == fault.Leave {
		s.applyLeave()
	}
	return nil
}

// Clear removes all faults.
func (s *Server) Clear() {
	s.faults.Clear()
	s.applyLeave()
}

// Leave makes the server reject new work while it finishes running work.
func (s *Server) Leave() {
	// The fault is valid, because the kind is known and needs no value.
	_ = s.Inject(fault.Fault{Kind: fault.Leave})
}

// applyLeave rejects new work while the fault Leave is active. It is also
// called when a request arrives, because the fault may have reached its end
// time.
func (s *Server) applyLeave() {
	leaving := s.faults.Leaving()
	s.scheduler.setLeaving(leaving)
	if leaving {
		s.closeLeaving()
	}
}

// shouldFail reports whether a fault makes an attempt fail. It is called once
// the attempt has a slot, and at most once for each attempt, because
// fault.FailAfter counts the calls.
func (s *Server) shouldFail(a *attempt) bool {
	running, _ := s.scheduler.load()
	return s.faults.ShouldFail(fault.Attempt{
		ID:          a.id,
		Version:     a.body.Version,
		Utilization: float64(running) / float64(s.config.Slots),
		OnRoute:     func(route string) bool { return onRoute(route, a.body.Prompt) },
	})
}

// isPoison reports whether a fault makes the request crash the process.
func (s *Server) isPoison(a *attempt) bool {
	return s.faults.IsPoison(a.body.Version, func(v string) bool { return strings.Contains(a.body.Prompt, v) })
}

// onRoute reports whether a prompt belongs to a route. It looks at the prompt,
// because the engine API does not carry the route: only chat prompts begin with
// a role.
func onRoute(route, prompt string) bool {
	chat := false
	for _, role := range []string{"system: ", "developer: ", "user: ", "assistant: "} {
		chat = chat || strings.HasPrefix(prompt, role)
	}
	switch route {
	case "chat":
		return chat
	case "completions":
		return !chat
	}
	return strings.HasPrefix(prompt, route)
}
