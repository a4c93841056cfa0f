package engine

import (
	"strings"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// Inject applies a fault; its kinds are those of package fault.
func (s *Server) Inject(f fault.Fault) error {
	if err := s.faults.Inject(f); err != nil {
		return err
	}
	if f.Kind == fault.Leave {
		s.applyLeave()
	}
	return nil
}

// Clear ends all faults.
func (s *Server) Clear() {
	s.faults.Clear()
	s.applyLeave()
}

// Leave makes the server reject new work while it finishes running work.
func (s *Server) Leave() {
	// There is no error, because the kind is known and needs no value.
	_ = s.Inject(fault.Fault{Kind: fault.Leave})
}

// applyLeave is also called when work arrives, because a fault may end by
// itself.
func (s *Server) applyLeave() {
	leaving := s.faults.Leaving()
	s.scheduler.leave(leaving)
	if leaving {
		s.closeLeft()
	}
}

// fails reports whether a fault makes an attempt fail that has just got a
// slot.
func (s *Server) fails(a *attempt) bool {
	running, _ := s.scheduler.load()
	return s.faults.Fails(fault.Running{
		Attempt: a.id,
		Version: a.body.Version,
		Busy:    float64(running) / float64(s.config.Slots),
		OnRoute: func(route string) bool { return onRoute(route, a.body.Prompt) },
	})
}

// poison reports whether the request crashes the process.
func (s *Server) poison(a *attempt) bool {
	return s.faults.Poison(a.body.Version, func(v string) bool { return strings.Contains(a.body.Prompt, v) })
}

// onRoute tells the routes apart by the prompt, because the engine API does
// not carry the route: only chat prompts begin with a role.
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
