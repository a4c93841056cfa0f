package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// clock is a boot clock that tests set.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Guards against a copy that counts as fresh because the machine was suspended
// while a peer's answer was on its way.
func TestSuspensionDoesNotConfirm(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	f := New(Config{Now: c.read, Apply: func(Change) {}, Relay: func(context.Context, int64, time.Duration) (Relayed, error) {
		c.advance(time.Minute) // suspended
		return Relayed{Next: 5, Age: time.Second}, nil
	}})
	sent := c.read()
	if _, _, ok := f.relay(t.Context(), 5, sent); !ok {
		t.Fatal("relayed answer was not taken")
	}
	if got, want := f.Confirmed(), sent.Add(-time.Second); got.After(want) {
		t.Errorf("confirmed %v, want at most %v", got, want)
	}
}

// Guards against a peer whose copy is old and that is followed for ever.
func TestOldCopyOfAPeerIsLeft(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	f := New(Config{Now: c.read, Apply: func(Change) {}, Relay: func(context.Context, int64, time.Duration) (Relayed, error) {
		return Relayed{Next: 5, Age: relayAge + 1}, nil
	}})
	if _, _, ok := f.relay(t.Context(), 5, c.read()); ok {
		t.Error("an old copy was taken")
	}
	if !f.Confirmed().IsZero() {
		t.Errorf("confirmed %v by an old copy", f.Confirmed())
	}
}

// Guards against changes that a peer never gets because the log dropped them
// or had not seen them.
func TestServe(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	f := New(Config{Now: c.read, Apply: func(Change) {}})
	f.log.reset(10)
	f.confirmed.Store(c.read().UnixNano())
	f.log.add([]store.Item{{Key: "a", Revision: 11}, {Key: "b", Revision: 13}}, 14)
	tests := []struct {
		after int64
		ok    bool
		keys  int
	}{{9, false, 0}, {10, true, 2}, {11, true, 1}, {13, true, 0}, {20, true, 0}}
	for _, tt := range tests {
		r, ok := f.Serve(t.Context(), tt.after, 0)
		if ok != tt.ok || len(r.Items) != tt.keys {
			t.Errorf("after %d: got %d items and %v, want %d and %v", tt.after, len(r.Items), ok, tt.keys, tt.ok)
		}
		if ok && r.Next < tt.after {
			t.Errorf("after %d: goes on from %d", tt.after, r.Next)
		}
	}
	f.trouble.Store(c.read().Add(time.Second).UnixNano())
	if _, ok := f.Serve(t.Context(), 10, 0); ok {
		t.Error("an instance that lost the store serves its copy")
	}
}

// directStore counts the calls of a follower and fails them all.
type directStore struct {
	store.Store
	calls int
}

func (d *directStore) Watch(context.Context, string, int64, time.Duration) ([]store.Item, int64, error) {
	d.calls++
	return nil, 0, store.ErrUnavailable
}

func (d *directStore) List(context.Context, string) ([]store.Item, int64, error) {
	d.calls++
	return nil, 0, store.ErrUnavailable
}

// Guards against a whole failure domain that calls the store because the one
// instance that did so has failed.
func TestAnotherPeerIsAskedBeforeTheStore(t *testing.T) {
	tests := []struct {
		name   string
		errs   []error // of the peers, one after the other
		asked  int
		direct bool
	}{
		{"first answers", []error{nil}, 1, false},
		{"second answers", []error{errors.New("silent"), nil}, 2, false},
		{"none answers", []error{errors.New("silent"), errors.New("silent"), nil}, 2, true},
		{"no other is left", []error{errors.New("silent"), ErrNoRelay}, 2, true},
	}
	for _, tt := range tests {
		c := &clock{now: time.Unix(1000, 0)}
		asked := 0
		f := New(Config{Now: c.read, Apply: func(Change) {}, Relay: func(context.Context, int64, time.Duration) (Relayed, error) {
			asked++
			return Relayed{Next: 5}, tt.errs[asked-1]
		}})
		_, _, ok := f.relay(t.Context(), 5, c.read())
		if asked != tt.asked || ok == tt.direct {
			t.Errorf("%s: %d peers asked and relayed %v, want %d and %v", tt.name, asked, ok, tt.asked, !tt.direct)
		}
	}
}

// Guards against a store that is overwhelmed, and priced, by instances that it
// refuses.
func TestRefusedCallsBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = time.Minute
		d := &directStore{}
		f := New(Config{Store: d, Now: time.Now, Apply: func(Change) {}})
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		f.Run(ctx)
		// Pauses are half of their bound at least.
		if most := 5 + int(2*length/retryMost); d.calls > most {
			t.Errorf("%d calls in %v, want at most %d", d.calls, length, most)
		}
	})
}
