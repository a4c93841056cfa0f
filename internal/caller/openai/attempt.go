package openai

import (
	"context"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// runAttempt runs one attempt on the server that chooseServer picked.
func (r *driver) runAttempt(ctx context.Context) error {
	s, g := r.server, r.generation
	suspect := r.suspect
	defer s.config.Fleet.Ended(r.backend.ID)
	defer s.inFlight.remove(r.backend.ID, r, suspect)
	prefix := g.generatedTokens()
	a := engine.Attempt{ID: r.attemptID, Address: r.backend.Address, Request: r.response.request.id, Entry: g.entry, Version: r.version,
		Prompt: g.prompt, Priority: r.priority(), MaxTokens: g.maxTokens, From: len(prefix), Prefix: prefix, Import: r.importAttempt}
	r.importAttempt = ""
	err := s.config.Engine.Generate(ctx, &a, r.handleFrame)
	if err == nil {
		r.recordAttempt(false, "")
		return nil
	}
	if !engine.IsNotRun(err) {
		g.markSent()
	}
	r.handleFailure(ctx, &a, err)
	return err
}

func (r *driver) priority() string {
	if r.generation.interactive {
		return "interactive"
	}
	return "batch"
}

// handleFrame processes one frame of the current attempt.
func (r *driver) handleFrame(f engine.Frame) error {
	now := r.server.config.Now()
	if r.tokens == 0 {
		r.firstToken = now.Sub(r.attemptStart)
		if r.record.FirstToken == 0 {
			r.record.FirstToken = now.Sub(r.response.received)
		}
	} else {
		r.betweenTokens += now.Sub(r.lastTokenAt)
	}
	if f.Token != "" || f.Finish == "" {
		r.tokens++
		r.record.Generated++
		r.generation.appendToken(f.Token)
		if err := r.out.writeToken(f.Token, f.More || f.Finish != ""); err != nil {
			return err
		}
		r.lastTokenAt = r.server.config.Now()
	}
	if f.Finish != "" {
		r.handleLastFrame(&f)
		return nil
	}
	select {
	case <-r.leaving:
		return r.checkReclaim(now)
	default:
		return nil
	}
}

// handleLastFrame records the finish reason and the usage of the last frame.
func (r *driver) handleLastFrame(f *engine.Frame) {
	u := engine.Usage{}
	if f.Usage != nil {
		u = *f.Usage
	}
	r.record.Prompt, r.record.Cached = u.Prompt, r.record.Cached+u.Cached
	if r.interrupted {
		// The engine reports every token that it computed for the prompt. They
		// are recomputed only if an earlier attempt was interrupted.
		r.record.Recomputed += u.Recomputed
	}
	r.generation.complete(f.Finish, u)
}

// cancelAttempt cancels an attempt on its engine in the background. It skips the
// call if too many cancellations are in progress.
func (s *Server) cancelAttempt(a *engine.Attempt) {
	select {
	case s.cancelSlots <- struct{}{}:
	default:
		return // the engine also detects the closed connection
	}
	address, id := a.Address, a.ID
	s.cancellations.Go(func() {
		defer func() { <-s.cancelSlots }()
		s.config.Engine.Cancel(context.Background(), address, id)
	})
}
