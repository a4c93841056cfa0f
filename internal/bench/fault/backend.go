package fault

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kinds of faults of backend servers. A fault with a version concerns only
// requests for it.
const (
	// Slow multiplies all delays by its value; the default is 4.
	Slow = "slow"
	// Fail answers the share of attempts given by its value with status 500;
	// the default is 1.
	Fail = "fail"
	// FailRoute fails one route, given by its value: for engines "chat",
	// "completions" or a prompt prefix, for plain services a path prefix.
	FailRoute = "fail-route"
	// FailUnderLoad fails while the share of busy slots is at least its
	// value; the default is 0.5.
	FailUnderLoad = "fail-under-load"
	// FailAfter fails after a number of attempts or a duration such as "30s";
	// the default is at once.
	FailAfter = "fail-after"
	// CrashOn exits the process when a prompt or body with this substring
	// runs.
	CrashOn = "crash-on"
	// Stall stops streams after the number of tokens given by its value;
	// plain services stop before the response.
	Stall = "stall"
	// DuplicateFrames sends each frame twice.
	DuplicateFrames = "duplicate-frames"
	// LateFrames sends an old frame of the attempt again before each frame.
	LateFrames = "late-frames"
	// ForeignFrames sends a frame of another attempt before each frame.
	ForeignFrames = "foreign-frames"
	// Leave rejects new work while running work finishes.
	Leave = "leave"
)

const (
	defaultSlowFactor = 4
	defaultBusyShare  = 0.5
	// maxNumber keeps delays that are multiplied by a fault in the range of
	// time.Duration.
	maxNumber = 1e6
)

// Backend holds the faults of a backend server.
type Backend struct {
	*Set

	now   func() time.Time
	mu    sync.Mutex
	since time.Time
	count int
}

// NewBackend returns an empty set of faults of a backend server.
func NewBackend(now func() time.Time) *Backend {
	return &Backend{Set: NewSet(now, checkBackend), now: now}
}

func checkBackend(f Fault) error {
	kinds := Kinds(Slow, Fail, FailRoute, FailUnderLoad, FailAfter, CrashOn, Stall,
		DuplicateFrames, LateFrames, ForeignFrames, Leave)
	if err := kinds(f); err != nil {
		return err
	}
	var err error
	switch f.Kind {
	case Slow, Fail, FailUnderLoad:
		_, err = number(f, 0)
	case Stall:
		_, err = Count(f)
	case FailAfter:
		if _, err = Count(f); err != nil {
			_, err = time.ParseDuration(f.Value)
		}
	case FailRoute, CrashOn:
		if f.Value == "" {
			err = errors.New("value is empty")
		}
	}
	if err != nil {
		return fmt.Errorf("invalid value of %s: %w", f.Kind, err)
	}
	return nil
}

// number returns a fault's value as a number from 0 to maxNumber.
func number(f Fault, unset float64) (float64, error) {
	if f.Value == "" {
		return unset, nil
	}
	n, err := strconv.ParseFloat(f.Value, 64)
	if err == nil && !(n >= 0 && n <= maxNumber) {
		err = fmt.Errorf("%s is not a number from 0 to %v", f.Value, maxNumber)
	}
	return n, err
}

// Count returns a fault's value as an integer; the default is 0.
func Count(f Fault) (int, error) {
	if f.Value == "" {
		return 0, nil
	}
	return strconv.Atoi(f.Value)
}

// For returns the active fault of a kind for a version.
func (b *Backend) For(kind, version string) (Fault, bool) {
	return b.Find(kind, func(f Fault) bool { return f.concerns(version) })
}

func (f Fault) concerns(version string) bool {
	return f.Version == "" || f.Version == version
}

// Slowness returns the factor on all delays.
func (b *Backend) Slowness(version string) float64 {
	f, ok := b.For(Slow, version)
	if !ok {
		return 1
	}
	n, _ := number(f, defaultSlowFactor)
	return n
}

// Leaving reports whether new work is rejected.
func (b *Backend) Leaving() bool {
	_, ok := b.Find(Leave, nil)
	return ok
}

// Poison reports whether matches accepts the value of a fault CrashOn.
func (b *Backend) Poison(version string, matches func(value string) bool) bool {
	_, ok := b.Find(CrashOn, func(f Fault) bool { return f.concerns(version) && matches(f.Value) })
	return ok
}

// Running describes an attempt that has just begun to run.
type Running struct {
	Attempt, Version string
	// Busy is the share of slots in use, this attempt's included.
	Busy float64
	// OnRoute reports whether the attempt is on a route.
	OnRoute func(route string) bool
}

// Fails reports whether a fault makes the attempt fail.
func (b *Backend) Fails(r Running) bool {
	if f, ok := b.For(Fail, r.Version); ok {
		share, _ := number(f, 1)
		if float64(xxhash.Sum64String(r.Attempt))/math.MaxUint64 < share {
			return true
		}
	}
	if _, ok := b.Find(FailRoute, func(f Fault) bool { return f.concerns(r.Version) && r.OnRoute(f.Value) }); ok {
		return true
	}
	if f, ok := b.For(FailUnderLoad, r.Version); ok {
		if share, _ := number(f, defaultBusyShare); r.Busy >= share {
			return true
		}
	}
	f, ok := b.For(FailAfter, r.Version)
	return ok && b.after(f)
}

// after counts an attempt against the fault FailAfter.
func (b *Backend) after(f Fault) bool {
	n, err := Count(f)
	if err != nil {
		d, _ := time.ParseDuration(f.Value)
		return !b.now().Before(f.Since.Add(d))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.since.Equal(f.Since) {
		b.since, b.count = f.Since, 0
	}
	b.count++
	return b.count > n
}

// AwaitStall waits while a fault stops the stream before the token with index
// i. It returns the context's error.
func (b *Backend) AwaitStall(ctx context.Context, version string, i int) error {
	for {
		changed := b.Changed()
		f, ok := b.For(Stall, version)
		n, _ := Count(f)
		if !ok || i < n {
			return nil
		}
		var end <-chan time.Time
		if !f.Until.IsZero() {
			end = time.After(f.Until.Sub(b.now()))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-end:
		}
	}
}
