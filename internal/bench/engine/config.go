package engine

import (
	"context"
	"os"
	"time"
)

const (
	defaultSlots       = 16
	defaultQueue       = 64
	defaultCacheBlocks = 4096
	// crashStatus is the exit status of a process that a request crashed.
	crashStatus = 3
)

// Config configures a Server.
type Config struct {
	// Entry is the catalogue entry that the engine serves; requests for
	// another entry are rejected. An empty one accepts all.
	Entry string
	// Versions are loaded at the start; none accepts any version.
	Versions []string
	// Slots is the number of requests that run at once; the default is 16.
	Slots int
	// Queue is the number of requests that wait for a slot; the default is 64.
	Queue int
	// FirstToken is the time to the first token after a slot is free.
	FirstToken time.Duration
	// PerPromptToken is added to FirstToken for each recomputed token.
	PerPromptToken time.Duration
	// BetweenTokens is the time between two tokens.
	BetweenTokens time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 words;
	// the default is 4096.
	CacheBlocks int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the age of cache events.
	EventLag time.Duration
	// EventGap drops every EventGap-th cache event; 0 drops none.
	EventGap int
	// VersionDelay is how long loading a version takes.
	VersionDelay time.Duration
	// ChecksFence rejects commands with a stale fencing token.
	ChecksFence bool
	// Crashes is the number of crashes before this process.
	Crashes int
	// Ran is called with the prompt's hash at the start of each run, if not
	// nil.
	Ran func(prompt uint64)
	// Exit ends the process on a poison request. If it returns, the server
	// behaves like a restarted process: connections break and the cache is
	// empty. The default exits with status 3.
	Exit func()
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Wait returns after d or when ctx ends; the default uses a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Queue <= 0 {
		c.Queue = defaultQueue
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.Exit == nil {
		c.Exit = func() { os.Exit(crashStatus) }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Wait == nil {
		c.Wait = wait
	}
	return c
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
