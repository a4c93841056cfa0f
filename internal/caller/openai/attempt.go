package openai

import (
	"context"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// attempt runs one attempt on the server that choose picked.
func (r *run) attempt(ctx context.Context) error {
	s, g := r.s, r.g
	suspect := r.suspect
	defer s.c.Fleet.Ended(r.backend.ID)
	defer s.flying.end(r.backend.ID, r, suspect)
	prefix := g.reached()
	a := engine.Attempt{ID: r.id, Address: r.backend.Address, Request: r.p.call.id, Entry: g.entry, Version: r.version,
		Prompt: g.prompt, Priority: r.priority(), MaxTokens: g.maxTokens, From: len(prefix), Prefix: prefix, Import: r.imported}
	r.imported = ""
	err := s.c.Engine.Generate(ctx, &a, r.frame)
	if err == nil {
		r.report(false, "")
		return nil
	}
	if !engine.IsNotRun(err) {
		g.markSent()
	}
	r.failed(ctx, &a, err)
	return err
}

func (r *run) priority() string {
	if r.g.interactive {
		return "interactive"
	}
	return "batch"
}

// frame takes one frame of the attempt under way.
func (r *run) frame(f engine.Frame) error {
	now := r.s.c.Now()
	if r.tokens == 0 {
		r.first = now.Sub(r.began)
		if r.record.FirstToken == 0 {
			r.record.FirstToken = now.Sub(r.p.begun)
		}
	} else {
		r.waited += now.Sub(r.last)
	}
	if f.Token != "" || f.Finish == "" {
		r.tokens++
		r.record.Generated++
		r.g.add(f.Token)
		if err := r.out.token(f.Token, f.More || f.Finish != ""); err != nil {
			return err
		}
		r.last = r.s.c.Now()
	}
	if f.Finish != "" {
		r.finish(&f)
		return nil
	}
	select {
	case <-r.leaving:
		return r.reclaimed(now)
	default:
		return nil
	}
}

// finish takes the last frame.
func (r *run) finish(f *engine.Frame) {
	u := engine.Usage{}
	if f.Usage != nil {
		u = *f.Usage
	}
	r.record.Prompt, r.record.Cached = u.Prompt, r.record.Cached+u.Cached
	if r.interrupted {
		// The engine reports every token that it computed for the prompt; only
		// after an interrupted attempt were they computed before.
		r.record.Recomputed += u.Recomputed
	}
	r.g.complete(f.Finish, u)
}

// cancel stops an attempt at its engine, in the background.
func (s *Server) cancel(a *engine.Attempt) {
	select {
	case s.cancels <- struct{}{}:
	default:
		return // the closed connection tells the engine too
	}
	address, id := a.Address, a.ID
	s.cleanup.Go(func() {
		defer func() { <-s.cancels }()
		s.c.Engine.Cancel(context.Background(), address, id)
	})
}
