package store

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// revisionBits is the number of bits of a position that hold the revision.
const revisionBits = 44

// Era returns the era of a position. A position is a revision or a lease ID of a Store
// together with the era that it belongs to: a store that came back from a copy begins a new
// era, in which it gives out the numbers of the history that it has lost again. Positions are
// ordered by era first. The era is 0 for a store that does not say it.
func Era(position int64) int64 { return position >> revisionBits }

// position returns the position of a number n of the store in an era. The number 0, which
// stands for none, stays 0.
func position(era, n int64) (int64, error) {
	if n < 0 || n >= 1<<revisionBits || era < 0 || era >= 1<<(63-revisionBits) {
		return 0, fmt.Errorf("%w: revision or lease %d of era %d is out of range", ErrUnknown, n, era)
	}
	if n == 0 {
		return 0, nil
	}
	return era<<revisionBits | n, nil
}

// number returns the number of the store that a position holds.
func number(position int64) int64 { return position & (1<<revisionBits - 1) }

// Client makes the calls of a Store, with the numbers that the store itself uses. Each method
// also returns the era of the reply, which is 0 if there was none or it does not say it. An
// error may come with an era.
type Client interface {
	Get(ctx context.Context, key string) (item Item, era int64, err error)
	// List returns ErrUnavailable if the store began a new era between two pages.
	List(ctx context.Context, prefix string, stale bool) (items []Item, next, era int64, err error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []Item, next, era int64, err error)
	Commit(ctx context.Context, c Commit) (revision, era int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, era int64, err error)
	RenewLease(ctx context.Context, lease int64) (era int64, err error)
	EndLease(ctx context.Context, lease int64) (era int64, err error)
}

// WithEras returns a Store whose revisions and lease IDs are positions. It ends what belongs
// to an earlier era: watches with ErrCompacted, leases with ErrLeaseEnded, and commits under
// conditions with ErrConflict. Replies of an earlier era than one seen before are failures.
func WithEras(c Client) Store { return &eraStore{client: c} }

type eraStore struct {
	client Client
	latest atomic.Int64
}

// observe records the era of a reply, and returns it. A reply that does not say its era
// belongs to the latest one. observe returns an error that wraps failure if a later era was
// seen before.
func (s *eraStore) observe(era int64, failure error) (int64, error) {
	for {
		latest := s.latest.Load()
		switch {
		case era == 0 || era == latest:
			return latest, nil
		case era < latest:
			return 0, fmt.Errorf("%w: reply of era %d after one of era %d", failure, era, latest)
		case s.latest.CompareAndSwap(latest, era):
			return era, nil
		}
	}
}

// isPast reports whether a position belongs to an era that has ended.
func (s *eraStore) isPast(position int64) bool {
	return position != 0 && Era(position) < s.latest.Load()
}

// Get implements Store.
func (s *eraStore) Get(ctx context.Context, key string) (Item, error) {
	item, era, err := s.client.Get(ctx, key)
	era, past := s.observe(era, ErrUnavailable)
	if past != nil {
		return Item{}, past
	}
	if err != nil {
		return Item{}, err
	}
	return itemIn(era, item)
}

// itemIn returns an item with positions in an era.
func itemIn(era int64, item Item) (Item, error) {
	var err error
	if item.Revision, err = position(era, item.Revision); err != nil {
		return Item{}, err
	}
	item.Lease, err = position(era, item.Lease)
	return item, err
}

// itemsIn returns items, and the revision to continue from, with positions in an era.
func itemsIn(era int64, items []Item, next int64) ([]Item, int64, error) {
	for i := range items {
		var err error
		if items[i], err = itemIn(era, items[i]); err != nil {
			return nil, 0, err
		}
	}
	next, err := position(era, next)
	return items, next, err
}

// List implements Store.
func (s *eraStore) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	return s.list(ctx, prefix, false)
}

// ListStale implements Store.
func (s *eraStore) ListStale(ctx context.Context, prefix string) ([]Item, int64, error) {
	return s.list(ctx, prefix, true)
}

func (s *eraStore) list(ctx context.Context, prefix string, stale bool) ([]Item, int64, error) {
	items, next, era, err := s.client.List(ctx, prefix, stale)
	era, past := s.observe(era, ErrUnavailable)
	if past != nil {
		return nil, 0, past
	}
	if err != nil {
		return nil, 0, err
	}
	return itemsIn(era, items, next)
}

// Watch implements Store.
func (s *eraStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	if s.isPast(after) {
		return nil, 0, fmt.Errorf("%w: revision is of an earlier era", ErrCompacted)
	}
	items, next, era, err := s.client.Watch(ctx, prefix, number(after), wait)
	era, past := s.observe(era, ErrUnavailable)
	if past != nil {
		return nil, 0, past
	}
	if err != nil {
		return nil, 0, err
	}
	if s.isPast(after) {
		return nil, 0, fmt.Errorf("%w: store began era %d", ErrCompacted, era)
	}
	return itemsIn(era, items, next)
}

// Commit implements Store. If a new era begins meanwhile, a commit that depends on the former
// one may have been made in the new one, so that its outcome is unknown.
func (s *eraStore) Commit(ctx context.Context, c Commit) (int64, error) {
	local := Commit{Removes: c.Removes}
	depends := false
	for _, v := range c.Conditions {
		if s.isPast(v.Revision) {
			return 0, fmt.Errorf("%w: revision of %q is of an earlier era", ErrConflict, v.Key)
		}
		depends = depends || v.Revision != 0
		local.Conditions = append(local.Conditions, Condition{v.Key, number(v.Revision)})
	}
	for _, v := range c.Puts {
		if s.isPast(v.Lease) {
			return 0, fmt.Errorf("%w: lease is of an earlier era", ErrLeaseEnded)
		}
		depends = depends || v.Lease != 0
		local.Puts = append(local.Puts, Put{v.Key, v.Value, number(v.Lease)})
	}
	before := s.latest.Load()
	revision, era, err := s.client.Commit(ctx, local)
	era, past := s.observe(era, ErrUnknown)
	if past != nil {
		return 0, past
	}
	if err != nil {
		return 0, err
	}
	if depends && era > before {
		return 0, fmt.Errorf("%w: store began era %d", ErrUnknown, era)
	}
	return position(era, revision)
}

// GrantLease implements Store.
func (s *eraStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, granted, era, err := s.client.GrantLease(ctx, ttl)
	era, past := s.observe(era, ErrUnknown)
	if past != nil {
		return 0, 0, past
	}
	if err != nil {
		return 0, 0, err
	}
	lease, err = position(era, lease)
	return lease, granted, err
}

// RenewLease implements Store. The store may have given the ID of a lease of an earlier era to
// another caller.
func (s *eraStore) RenewLease(ctx context.Context, lease int64) error {
	if s.isPast(lease) {
		return fmt.Errorf("%w: lease is of an earlier era", ErrLeaseEnded)
	}
	era, err := s.client.RenewLease(ctx, number(lease))
	if _, past := s.observe(era, ErrUnavailable); past != nil {
		return past
	}
	if s.isPast(lease) {
		return fmt.Errorf("%w: store began era %d", ErrLeaseEnded, era)
	}
	return err
}

// EndLease implements Store.
func (s *eraStore) EndLease(ctx context.Context, lease int64) error {
	if s.isPast(lease) {
		return nil
	}
	era, err := s.client.EndLease(ctx, number(lease))
	if _, past := s.observe(era, ErrUnknown); past != nil {
		return past
	}
	return err
}
