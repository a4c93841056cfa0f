package store

import (
	"context"
	"errors"
	"testing"
	"time"
)

// scriptedLease is the ID of each lease that a scriptedClient grants. It does not fit into a
// position.
const scriptedLease = 1 << 60

// scriptedClient replies to each call in the era that it is in, and counts the calls that
// reach it.
type scriptedClient struct {
	era   int64
	calls int
	err   error
}

func (c *scriptedClient) reply() (int64, error) {
	c.calls++
	return c.era, c.err
}

// Get implements Client.
func (c *scriptedClient) Get(context.Context, string) (Item, int64, error) {
	era, err := c.reply()
	return Item{Key: "k", Revision: 7, Lease: 3}, era, err
}

// List implements Client.
func (c *scriptedClient) List(context.Context, string, bool) ([]Item, int64, int64, error) {
	era, err := c.reply()
	return []Item{{Key: "k", Revision: 7}}, 9, era, err
}

// Watch implements Client.
func (c *scriptedClient) Watch(_ context.Context, _ string, after int64, _ time.Duration) ([]Item, int64, int64, error) {
	era, err := c.reply()
	return []Item{{Key: "k", Revision: after + 1}}, after + 1, era, err
}

// Commit implements Client.
func (c *scriptedClient) Commit(context.Context, Commit) (int64, int64, error) {
	era, err := c.reply()
	return 8, era, err
}

// GrantLease implements Client.
func (c *scriptedClient) GrantLease(_ context.Context, ttl time.Duration) (int64, time.Duration, int64, error) {
	era, err := c.reply()
	return scriptedLease, ttl, era, err
}

// RenewLease implements Client.
func (c *scriptedClient) RenewLease(context.Context, int64) (int64, error) { return c.reply() }

// EndLease implements Client.
func (c *scriptedClient) EndLease(context.Context, int64) (int64, error) { return c.reply() }

// Guards against revisions and leases of a history that the store has lost being taken for
// those that it gives out again.
func TestNumbersOfAnEarlierEraEnd(t *testing.T) {
	watch := func(s Store, old int64) error {
		_, _, err := s.Watch(t.Context(), "", old, 0)
		return err
	}
	commit := func(c func(old int64) Commit) func(Store, int64) error {
		return func(s Store, old int64) error {
			_, err := s.Commit(t.Context(), c(old))
			return err
		}
	}
	conditional := commit(func(old int64) Commit { return Commit{Conditions: []Condition{{"k", old}}} })
	leased := commit(func(int64) Commit { return Commit{Puts: []Put{{"k", nil, scriptedLease}}} })
	renew := func(s Store, _ int64) error { return s.RenewLease(t.Context(), scriptedLease) }
	tests := []struct {
		name string
		call func(s Store, old int64) error
		// unaware is the error of the call whose reply is the first of the new era, and
		// aware that of a later call, which must not reach the store.
		unaware, aware error
	}{
		{"watch", watch, ErrCompacted, ErrCompacted},
		{"conditional commit", conditional, ErrUnknown, ErrConflict},
		{"commit under a lease", leased, ErrUnknown, ErrLeaseEnded},
		{"renewal", renew, ErrLeaseEnded, ErrLeaseEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &scriptedClient{era: 1}
			s := WithEras(c)
			item, err := s.Get(t.Context(), "k")
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := s.GrantLease(t.Context(), time.Second); err != nil {
				t.Fatal(err)
			}
			c.era = 2
			if err := tt.call(s, item.Revision); !errors.Is(err, tt.unaware) {
				t.Errorf("first call in the new era: got %v, want %v", err, tt.unaware)
			}
			calls := c.calls
			if err := tt.call(s, item.Revision); !errors.Is(err, tt.aware) || c.calls != calls {
				t.Errorf("later call: got %v and %d calls, want %v and none", err, c.calls-calls, tt.aware)
			}
			next, err := s.Get(t.Context(), "k")
			if err != nil || next.Revision <= item.Revision {
				t.Errorf("got %+v and %v in the new era, want a later revision than in %+v", next, err, item)
			}
		})
	}
}

// Guards against a reply that was in flight while the store was replaced and brings the lost
// history back.
func TestReplyOfAnEarlierEraIsAFailure(t *testing.T) {
	c := &scriptedClient{era: 2}
	s := WithEras(c)
	if _, err := s.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	c.era = 1
	if _, _, err := s.List(t.Context(), ""); !errors.Is(err, ErrUnavailable) {
		t.Errorf("listing: got %v, want %v", err, ErrUnavailable)
	}
	if _, err := s.Commit(t.Context(), Commit{}); !errors.Is(err, ErrUnknown) {
		t.Errorf("commit: got %v, want %v", err, ErrUnknown)
	}
}

// Guards against eras or revisions that do not fit into a position.
func TestEraOfAnySizeIsOrdered(t *testing.T) {
	for _, era := range []int64{1, 2, 1_800_000_000, 1 << 62} {
		before, err := position(era, 1<<40)
		if err != nil {
			t.Fatal(err)
		}
		after, err := position(era+1, 1)
		if err != nil || after <= before {
			t.Errorf("era %d: got position %d (%v) after %d, want a higher one", era+1, after, err, before)
		}
		s := WithEras(&scriptedClient{era: era})
		item, err := s.Get(t.Context(), "k")
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := s.Watch(t.Context(), "", item.Revision, 0); err != nil {
			t.Errorf("era %d: a watch in the same era fails: %v", era, err)
		}
	}
}

// Guards against a change of the numbers of a store that does not say its era.
func TestNumbersWithoutEraAreUnchanged(t *testing.T) {
	s := WithEras(&scriptedClient{})
	item, err := s.Get(t.Context(), "k")
	if err != nil || item.Revision != 7 || item.Lease != 3 {
		t.Errorf("got %+v and %v, want revision 7 and lease 3", item, err)
	}
	if _, next, err := s.Watch(t.Context(), "", 7, 0); err != nil || next != 8 {
		t.Errorf("watch continues from %d (%v), want 8", next, err)
	}
}
