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
	// crashStatus is the exit status of the process when a request crashes it.
	crashStatus = 3
)

// Config configures a Server.
type Config struct {
	// Entry is the catalogue entry that the engine serves; requests for
	// another entry are rejected. If Entry is empty, all are accepted.
	Entry string
	// Versions are the versions loaded at the start. If there are none,
	// requests for any version are accepted until a command sets versions.
	Versions []string
	// Slots is the number of requests that run concurrently; the default is 16.
	Slots int
	// Queue is the maximum number of requests that wait for a slot; the
	// default is 64.
	Queue int
	// FirstToken is the time from the grant of a slot to the first token.
	FirstToken time.Duration
	// PerPromptToken is added to FirstToken for each recomputed token.
	PerPromptToken time.Duration
	// BetweenTokens is the time between two consecutive tokens.
	BetweenTokens time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 words;
	// the default is 4096.
	CacheBlocks int
	// LoadLag is the time until a change of the load shows in load reports.
	LoadLag time.Duration
	// EventLag is the time until a cache event can be read.
	EventLag time.Duration
	// DropEveryNthEvent, if positive, makes the cache drop every event whose
	// sequence number is a multiple of it.
	DropEveryNthEvent int
	// VersionDelay is how long loading a version takes.
	VersionDelay time.Duration
	// ChecksFence reports whether commands with a stale fencing token are
	// rejected.
	ChecksFence bool
	// Crashes is the number of crashes before the start of this process.
	Crashes int
	// OnRun, if not nil, is called with the prompt's hash at the start of each
	// run.
	OnRun func(promptHash uint64)
	// Exit ends the process on a request that the fault CrashOn matches (a
	// poison request). If it returns, the server behaves like a restarted
	// process: connections break and the caches are empty. The default exits
	// with status 3.
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
