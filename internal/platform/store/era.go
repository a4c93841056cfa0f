package store

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// revisionBits is the number of bits of a position that hold the revision, and maxEra
	// the highest era that fits into the others.
	revisionBits = 44
	maxEra       = 1<<(63-revisionBits) - 1
)

// Era returns the era of a position. The revisions of a Store are positions: a revision of the
// store together with the era that it belongs to. A store that came back from a copy begins a
// new era, in which it gives out the revisions and the lease IDs that it has lost again.
// Positions are ordered by era first. The era is 0 for a store that does not say it.
func Era(position int64) int64 { return position >> revisionBits }

// Revision returns the revision of the store that a position holds. An item that a store has
// kept in a copy has the same one in each era.
func Revision(position int64) int64 { return position & (1<<revisionBits - 1) }

// position returns the position of a revision in an era. The revision 0, which stands for
// none, stays 0.
func position(era, revision int64) (int64, error) {
	if revision < 0 || revision >= 1<<revisionBits {
		return 0, fmt.Errorf("%w: revision %d is out of range", ErrUnknown, revision)
	}
	if revision == 0 {
		return 0, nil
	}
	return fitEra(era)<<revisionBits | revision, nil
}

// fitEra returns an era that fits into a position. It rises with the era but for a wrap from
// maxEra to 1.
func fitEra(era int64) int64 {
	if era <= 0 {
		return 0
	}
	return (era-1)%maxEra + 1
}

// Client makes the calls of a Store, with the revisions that the store itself uses. Each
// method also returns the era of the reply, which is 0 if there was none or it does not say
// it. An error may come with an era.
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

// WithEras returns a Store whose revisions are positions. It ends what belongs to an earlier
// era: watches with ErrCompacted, leases with ErrLeaseEnded, and commits under conditions
// with ErrConflict. Replies of an earlier era than one seen before are failures.
func WithEras(c Client) Store { return &eraStore{client: c, leases: make(map[int64]int64)} }

type eraStore struct {
	client Client
	latest atomic.Int64

	mu sync.Mutex
	// leases holds the eras, by ID, of the leases that this process was granted.
	leases map[int64]int64
}

// maxLeases bounds the leases whose eras are kept. A process uses two at a time.
const maxLeases = 1024

// granted records the era of a lease.
func (s *eraStore) granted(lease, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.leases) >= maxLeases {
		clear(s.leases)
	}
	s.leases[lease] = era
}

// hasEnded reports whether a lease belongs to an era that has ended.
func (s *eraStore) hasEnded(lease int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, known := s.leases[lease]
	return known && era < s.latest.Load()
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
	return position != 0 && Era(position) < fitEra(s.latest.Load())
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
	return itemIn(era, item), nil
}

// itemIn returns an item with its position in an era. A revision that is out of range counts
// as missing, because an error would keep all other items of the reply from being read.
func itemIn(era int64, item Item) Item {
	item.Revision, _ = position(era, item.Revision)
	return item
}

// itemsIn returns items, and the revision to continue from, with positions in an era.
func itemsIn(era int64, items []Item, next int64) ([]Item, int64, error) {
	for i := range items {
		items[i] = itemIn(era, items[i])
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
	items, next, era, err := s.client.Watch(ctx, prefix, Revision(after), wait)
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
	local := Commit{Puts: c.Puts, Removes: c.Removes}
	depends := false
	for _, v := range c.Conditions {
		if s.isPast(v.Revision) {
			return 0, fmt.Errorf("%w: revision of %q is of an earlier era", ErrConflict, v.Key)
		}
		depends = depends || v.Revision != 0
		local.Conditions = append(local.Conditions, Condition{v.Key, Revision(v.Revision)})
	}
	for _, v := range c.Puts {
		if s.hasEnded(v.Lease) {
			return 0, fmt.Errorf("%w: lease is of an earlier era", ErrLeaseEnded)
		}
		depends = depends || v.Lease != 0
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
	s.granted(lease, era)
	return lease, granted, nil
}

// RenewLease implements Store. The store may have given the ID of a lease of an earlier era to
// another caller.
func (s *eraStore) RenewLease(ctx context.Context, lease int64) error {
	if s.hasEnded(lease) {
		return fmt.Errorf("%w: lease is of an earlier era", ErrLeaseEnded)
	}
	era, err := s.client.RenewLease(ctx, lease)
	if _, past := s.observe(era, ErrUnavailable); past != nil {
		return past
	}
	if s.hasEnded(lease) {
		return fmt.Errorf("%w: store began era %d", ErrLeaseEnded, era)
	}
	return err
}

// EndLease implements Store.
func (s *eraStore) EndLease(ctx context.Context, lease int64) error {
	if s.hasEnded(lease) {
		return nil
	}
	era, err := s.client.EndLease(ctx, lease)
	if _, past := s.observe(era, ErrUnknown); past != nil {
		return past
	}
	return err
}
