package openai

import (
	"context"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// runAttempt runs one attempt on the server that chooseServer picked.
func (d *driver) runAttempt(ctx context.Context) error {
	s, g := d.server, d.generation
	suspect := d.suspect
	defer s.config.Fleet.AttemptEnded(d.backend.ID)
	defer s.inFlight.remove(d.backend.ID, d, suspect)
	tokens := g.generatedTokens()
	a := engine.Attempt{ID: d.attemptID, Address: d.backend.Address, Request: d.admitted.request.id, Entry: g.entry, Version: d.version,
		Prompt: g.prompt, Priority: d.priority(), MaxTokens: g.maxTokens, From: len(tokens), Prefix: tokens, Import: d.cacheAttemptID}
	d.cacheAttemptID = ""
	err := s.config.Engine.Generate(ctx, &a, d.handleFrame)
	if err == nil {
		s.config.Poison.Completed(g.fingerprint)
		d.recordAttempt(false, "")
		return nil
	}
	if !engine.IsNotRun(err) {
		g.markMaybeSent()
	}
	d.handleFailure(ctx, &a, err)
	return err
}

func (d *driver) priority() string {
	if d.generation.interactive {
		return "interactive"
	}
	return "batch"
}

// handleFrame records the token of a frame and writes it to the client. An error,
// such as errMigrated or errClientDisconnected, ends the attempt.
func (d *driver) handleFrame(f engine.Frame) error {
	now := d.server.config.Now()
	if d.tokens == 0 {
		d.firstToken = now.Sub(d.attemptStart)
		if d.record.FirstToken == 0 {
			d.record.FirstToken = now.Sub(d.admitted.received)
		}
	} else {
		d.betweenTokens += now.Sub(d.lastTokenAt)
	}
	if f.Token != "" || f.Finish == "" {
		d.tokens++
		d.record.GeneratedTokens++
		d.generation.appendToken(f.Token)
		if d.textBytes += tokenBytes(f.Token); !d.held.Resize(d.textBytes) {
			return errDropped
		}
		if err := d.out.writeToken(f.Token, f.More || f.Finish != ""); err != nil {
			return err
		}
		d.lastTokenAt = d.server.config.Now()
	}
	if f.Finish != "" {
		d.handleLastFrame(&f)
		return nil
	}
	select {
	case <-d.leaving:
		return d.checkReclaim(now)
	default:
		return nil
	}
}

// handleLastFrame records the finish reason and the usage of the last frame.
func (d *driver) handleLastFrame(f *engine.Frame) {
	u := engine.Usage{}
	if f.Usage != nil {
		u = *f.Usage
	}
	d.record.PromptTokens, d.record.CachedTokens = u.Prompt, d.record.CachedTokens+u.Cached
	if d.interrupted {
		// The engine reports every token that it computed for the prompt. They
		// count as recomputed only after an interrupted attempt, which had
		// computed them before.
		d.record.RecomputedTokens += u.Recomputed
	}
	d.generation.complete(f.Finish, u)
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
