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

// Fault kinds of backend servers. A fault with a version affects only requests
// for that version.
const (
	// Slow multiplies all delays by its value; the default is 4.
	Slow = "slow"
	// Fail answers the share of attempts given by its value with status 500;
	// the default is 1.
	Fail = "fail"
	// FailRoute fails one route, given by its value: for engines "chat",
	// "completions" or a prompt prefix, for plain services a path prefix.
	FailRoute = "fail-route"
	// FailUnderLoad fails attempts while the fraction of slots in use is at
	// least its value; the default is 0.5.
	FailUnderLoad = "fail-under-load"
	// FailAfter fails all attempts after a number of attempts or a duration
	// such as "30s"; by default, it fails the first attempt and all later ones.
	FailAfter = "fail-after"
	// CrashOn exits the process when it runs a poison request: a request whose
	// prompt or body contains the fault's value.
	CrashOn = "crash-on"
	// Stall stops streams after the number of tokens given by its value;
	// plain services stop before the response.
	Stall = "stall"
	// DuplicateFrames sends each frame twice.
	DuplicateFrames = "duplicate-frames"
	// LateFrames repeats an earlier frame of the attempt before each frame.
	LateFrames = "late-frames"
	// ForeignFrames sends a frame of another attempt before each frame.
	ForeignFrames = "foreign-frames"
	// Leave rejects new work while running work finishes.
	Leave = "leave"
)

const (
	defaultSlowFactor    = 4
	defaultLoadThreshold = 0.5
	// maxFloatValue keeps delays that a fault multiplies within the range of
	// time.Duration.
	maxFloatValue = 1e6
)

// Backend holds the faults of a backend server.
type Backend struct {
	*Set

	now             func() time.Time
	mu              sync.Mutex
	countedSince    time.Time
	countedAttempts int
}

// NewBackend returns a Backend without faults.
func NewBackend(now func() time.Time) *Backend {
	return &Backend{Set: NewSet(now, checkBackend), now: now}
}

func checkBackend(f Fault) error {
	kinds := AllowKinds(Slow, Fail, FailRoute, FailUnderLoad, FailAfter, CrashOn, Stall,
		DuplicateFrames, LateFrames, ForeignFrames, Leave)
	if err := kinds(f); err != nil {
		return err
	}
	var err error
	switch f.Kind {
	case Slow, Fail, FailUnderLoad:
		_, err = floatValue(f, 0)
	case Stall:
		_, err = IntValue(f)
	case FailAfter:
		if _, err = IntValue(f); err != nil {
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

// floatValue returns a fault's value, which must be a number from 0 to
// maxFloatValue, or defaultValue if the value is empty.
func floatValue(f Fault, defaultValue float64) (float64, error) {
	if f.Value == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseFloat(f.Value, 64)
	if err == nil && !(n >= 0 && n <= maxFloatValue) {
		err = fmt.Errorf("%s is not a number from 0 to %v", f.Value, maxFloatValue)
	}
	return n, err
}

// IntValue returns a fault's value as an integer; an empty value is 0.
func IntValue(f Fault) (int, error) {
	if f.Value == "" {
		return 0, nil
	}
	return strconv.Atoi(f.Value)
}

// FindForVersion returns the first active fault of a kind that applies to a
// version.
func (b *Backend) FindForVersion(kind, version string) (Fault, bool) {
	return b.Find(kind, func(f Fault) bool { return f.appliesTo(version) })
}

func (f Fault) appliesTo(version string) bool {
	return f.Version == "" || f.Version == version
}

// DelayFactor returns the factor by which all delays are multiplied; it is 1
// without the fault Slow.
func (b *Backend) DelayFactor(version string) float64 {
	f, ok := b.FindForVersion(Slow, version)
	if !ok {
		return 1
	}
	n, _ := floatValue(f, defaultSlowFactor)
	return n
}

// Leaving reports whether new work is rejected.
func (b *Backend) Leaving() bool {
	_, ok := b.Find(Leave, nil)
	return ok
}

// IsPoison reports whether a request is a poison request: whether matches
// returns true for the value of a CrashOn fault that applies to the version.
func (b *Backend) IsPoison(version string, matches func(value string) bool) bool {
	_, ok := b.Find(CrashOn, func(f Fault) bool { return f.appliesTo(version) && matches(f.Value) })
	return ok
}

// Attempt describes an attempt that has just begun to run.
type Attempt struct {
	ID, Version string
	// Utilization is the fraction of slots in use, including this attempt's.
	Utilization float64
	// OnRoute reports whether the attempt is on a route.
	OnRoute func(route string) bool
}

// ShouldFail reports whether a fault makes the attempt fail. It must be called
// at most once for each attempt, because the fault FailAfter counts the calls.
func (b *Backend) ShouldFail(a Attempt) bool {
	if f, ok := b.FindForVersion(Fail, a.Version); ok {
		share, _ := floatValue(f, 1)
		if float64(xxhash.Sum64String(a.ID))/math.MaxUint64 < share {
			return true
		}
	}
	if _, ok := b.Find(FailRoute, func(f Fault) bool { return f.appliesTo(a.Version) && a.OnRoute(f.Value) }); ok {
		return true
	}
	if f, ok := b.FindForVersion(FailUnderLoad, a.Version); ok {
		if threshold, _ := floatValue(f, defaultLoadThreshold); a.Utilization >= threshold {
			return true
		}
	}
	f, ok := b.FindForVersion(FailAfter, a.Version)
	return ok && b.failsAfter(f)
}

// failsAfter counts an attempt for the fault FailAfter and reports whether the
// attempt fails.
func (b *Backend) failsAfter(f Fault) bool {
	n, err := IntValue(f)
	if err != nil {
		d, _ := time.ParseDuration(f.Value)
		return !b.now().Before(f.Since.Add(d))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.countedSince.Equal(f.Since) {
		b.countedSince, b.countedAttempts = f.Since, 0
	}
	b.countedAttempts++
	return b.countedAttempts > n
}

// AwaitStall waits while the fault Stall stops the stream before the token with
// index i. It returns the context's error if ctx ends before the fault.
func (b *Backend) AwaitStall(ctx context.Context, version string, i int) error {
	for {
		changed := b.Changed()
		f, ok := b.FindForVersion(Stall, version)
		n, _ := IntValue(f)
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
