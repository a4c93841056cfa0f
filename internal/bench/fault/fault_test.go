package fault

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against faults that remain active after their end, affect another
// version or cannot be replaced and removed.
func TestFaultLifetimeAndVersion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := NewBackend(func() time.Time { return now })
	changed := b.Changed()
	is.NoErr(b.Inject(Fault{Kind: Slow, Value: "2", Version: "v2", Until: now.Add(time.Second)}))
	<-changed
	is.Equal(b.DelayFactor("v2"), 2.0)
	is.Equal(b.DelayFactor("v1"), 1.0)
	is.NoErr(b.Inject(Fault{Kind: Slow, Value: "3", Version: "v2"}))
	is.Equal(b.DelayFactor("v2"), 3.0)
	is.NoErr(b.Inject(Fault{Kind: Slow, Version: "v2", Until: now})) // removes it
	is.Equal(b.DelayFactor("v2"), 1.0)
	is.NoErr(b.Inject(Fault{Kind: Leave, Until: now.Add(time.Second)}))
	is.True(b.Leaving())
	now = now.Add(time.Second)
	is.True(!b.Leaving())
}

// Guards against a mistyped fault that silently does nothing.
func TestInvalidFaults(t *testing.T) {
	b := NewBackend(time.Now)
	for _, f := range []Fault{
		{},
		{Kind: "slowly"},
		{Kind: Slow, Value: "fast"},
		{Kind: Slow, Value: "-1"},
		{Kind: Slow, Value: "NaN"},
		{Kind: Slow, Value: "1e7"},
		{Kind: FailAfter, Value: "soon"},
		{Kind: Stall, Value: "1.5"},
		{Kind: CrashOn},
		{Kind: FailRoute},
	} {
		if err := b.Inject(f); !errors.Is(err, ErrInvalid) {
			t.Errorf("Inject(%+v) = %v, want ErrInvalid", f, err)
		}
	}
}

// Guards against a share of failures that differs from the requested one.
func TestFailShare(t *testing.T) {
	b := NewBackend(time.Now)
	if err := b.Inject(Fault{Kind: Fail, Value: "0.2"}); err != nil {
		t.Fatal(err)
	}
	failed := 0
	for i := range 10000 {
		if b.ShouldFail(Attempt{ID: time.Duration(i).String()}) {
			failed++
		}
	}
	if failed < 1800 || failed > 2200 {
		t.Errorf("%d of 10000 attempts fail, want about 2000", failed)
	}
}
