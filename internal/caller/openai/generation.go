package openai

import (
	"context"
	"sync"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// generation is a response in the making: the tokens reached and how to
// continue them.
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
	// conversation is the hash that keeps a conversation together.
	conversation uint64
	interactive  bool

	mu      sync.Mutex
	version string
	sent    bool // a byte of an attempt may have left
	tokens  []string
	finish  string
	usage   engine.Usage
	err     *reply.Error
	driven  bool
	waiting chan struct{} // closed at the next change; nil if none waits
}

// reached returns the tokens so far. The slice is only appended to.
func (g *generation) reached() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}

// add appends a token.
func (g *generation) add(token string) {
	g.mu.Lock()
	g.tokens = append(g.tokens, token)
	g.sent = true
	g.wake()
	g.mu.Unlock()
}

// markSent notes that a byte of an attempt may have left.
func (g *generation) markSent() {
	g.mu.Lock()
	g.sent = true
	g.mu.Unlock()
}

func (g *generation) wasSent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent
}

// complete records the end of the response.
func (g *generation) complete(finish string, u engine.Usage) {
	g.mu.Lock()
	g.finish, g.usage = finish, u
	g.wake()
	g.mu.Unlock()
}

// fail records that the response will not be completed.
func (g *generation) fail(err *reply.Error) {
	g.mu.Lock()
	g.err = err
	g.wake()
	g.mu.Unlock()
}

func (g *generation) wake() {
	if g.waiting != nil {
		close(g.waiting)
		g.waiting = nil
	}
}

// state is a consistent view of a generation.
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

// drive reports whether the caller may drive the generation now. It must call
// rest afterwards.
func (g *generation) drive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.driven || g.finish != "" || g.err != nil {
		return false
	}
	g.driven = true
	return true
}

// rest lets another handler drive the generation.
func (g *generation) rest() {
	g.mu.Lock()
	g.driven = false
	g.wake()
	g.mu.Unlock()
}

// wait returns when more than seen tokens are reached, when the generation has
// ended or needs a driver, or when ctx ends.
func (g *generation) wait(ctx context.Context, seen int) error {
	g.mu.Lock()
	if len(g.tokens) > seen || g.finish != "" || g.err != nil || !g.driven {
		g.mu.Unlock()
		return nil
	}
	if g.waiting == nil {
		g.waiting = make(chan struct{})
	}
	changed := g.waiting
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
