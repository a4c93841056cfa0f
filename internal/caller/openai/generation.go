package openai

import (
	"context"
	"sync"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// generation is a response that is being generated: its tokens so far and the
// state needed to continue. At most one handler at a time drives it.
type generation struct {
	id          string
	created     int64
	workspace   string
	entry       string
	route       string
	prompt      string
	maxTokens   int
	digest      uint64
	fingerprint uint64
	// conversation is a hash that is the same for all requests of a conversation.
	conversation uint64
	interactive  bool

	mu        sync.Mutex
	version   string
	maybeSent bool // bytes of an attempt may have been sent to a server
	tokens    []string
	finish    string
	usage     engine.Usage
	err       *reply.Error
	driven    bool          // a handler drives the generation
	changed   chan struct{} // closed at the next change; nil if no handler waits
}

// generatedTokens returns the tokens so far. The elements of the slice do not
// change later.
func (g *generation) generatedTokens() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// appendToken appends a token and wakes the waiting handlers.
func (g *generation) appendToken(token string) {
	g.mu.Lock()
	g.tokens = append(g.tokens, token)
	g.maybeSent = true
	g.notify()
	g.mu.Unlock()
}

// markMaybeSent records that bytes of an attempt may have been sent to a server.
func (g *generation) markMaybeSent() {
	g.mu.Lock()
	g.maybeSent = true
	g.mu.Unlock()
}

// mayHaveRun reports whether a server may have run an attempt of the generation,
// because bytes of the attempt may have been sent.
func (g *generation) mayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maybeSent
}

// complete ends the generation with a complete response.
func (g *generation) complete(finish string, u engine.Usage) {
	g.mu.Lock()
	g.finish, g.usage = finish, u
	g.notify()
	g.mu.Unlock()
}

// fail ends the generation with an error.
func (g *generation) fail(err *reply.Error) {
	g.mu.Lock()
	g.err = err
	g.notify()
	g.mu.Unlock()
}

// notify wakes the waiting handlers. The caller holds mu.
func (g *generation) notify() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// state is a consistent snapshot of the progress of a generation.
type state struct {
	tokens []string
	finish string
	usage  engine.Usage
	err    *reply.Error
}

func (g *generation) state() state {
	g.mu.Lock()
	defer g.mu.Unlock()
	return state{g.tokens, g.finish, g.usage, g.err}
}

func (s *state) ended() bool { return s.finish != "" || s.err != nil }

// acquire reports whether the caller may drive the generation now. If so, the
// caller must call release afterwards.
func (g *generation) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.driven || g.finish != "" || g.err != nil {
		return false
	}
	g.driven = true
	return true
}

// release allows another handler to drive the generation.
func (g *generation) release() {
	g.mu.Lock()
	g.driven = false
	g.notify()
	g.mu.Unlock()
}

// wait returns when the generation has more than seen tokens, has ended or is
// not driven by any handler, or with the error of ctx when ctx ends.
func (g *generation) wait(ctx context.Context, seen int) error {
	g.mu.Lock()
	if len(g.tokens) > seen || g.finish != "" || g.err != nil || !g.driven {
		g.mu.Unlock()
		return nil
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	changed := g.changed
	g.mu.Unlock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *generation) setVersion(v string) {
	g.mu.Lock()
	g.version = v
	g.mu.Unlock()
}

func (g *generation) lastVersion() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}
