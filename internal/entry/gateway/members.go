package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// instancesPrefix is the prefix of the store keys of the instances' entries.
	instancesPrefix = "wasabiworks/instances/"
	// registrationTTL is the time to live of an instance's entry, renewPeriod the
	// time between two renewals, and renewRetryPeriod the time until the next one
	// after a failure. Stopped instances are found by the exchanges, within
	// seconds; the entries only say which instances there are.
	registrationTTL  = 20 * time.Second
	renewPeriod      = 6 * time.Second
	renewRetryPeriod = 2 * time.Second
	// countHold is the longest time for which instances are still counted after
	// their entries were removed. If leases lapse while the store is unavailable,
	// all entries are removed at once although the instances are running.
	countHold = 10 * time.Second
	// allowanceCountHold is the same for the division of allowances. Instances that are
	// cut off from the store for longer than their leases last go on spending their part,
	// which the others must not divide among themselves meanwhile.
	allowanceCountHold = 10 * time.Minute
)

// registration is an instance's entry in the store.
type registration struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
	PeerAddress   string `json:"peer-address"`
	// OperationsAddress is the address at which operators read metrics.
	OperationsAddress string `json:"operations-address,omitempty"`
	// Capacity is in thousandths of a core.
	Capacity int64 `json:"capacity,omitempty"`
}

// Registered returns the instances that have valid entries in s.
func Registered(ctx context.Context, s store.Store) ([]membership.Member, error) {
	items, _, err := s.List(ctx, instancesPrefix)
	if err != nil {
		return nil, err
	}
	ms := make([]membership.Member, 0, len(items))
	for _, item := range items {
		if r, err := decodeRegistration(item); err == nil {
			ms = append(ms, r.member())
		}
	}
	return ms, nil
}

// decodeRegistration decodes an instance's entry in the store. It returns an error
// for an entry that no instance wrote.
func decodeRegistration(item store.Item) (r registration, err error) {
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return r, fmt.Errorf("decode instance entry %q: %w", item.Key, err)
	}
	if r.ID == "" || r.ID != strings.TrimPrefix(item.Key, instancesPrefix) || r.Capacity < 0 {
		return r, fmt.Errorf("decode instance entry %q: ID is not that of the key, or capacity is negative", item.Key)
	}
	address, err := netip.ParseAddrPort(r.PeerAddress)
	if err != nil {
		return r, fmt.Errorf("decode instance entry %q: invalid peer address: %w", item.Key, err)
	}
	if address.Port() == 0 {
		return r, fmt.Errorf("decode instance entry %q: peer address has port 0", item.Key)
	}
	return r, nil
}

func (r registration) member() membership.Member {
	return membership.Member{
		ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress, OperationsAddress: r.OperationsAddress,
		Capacity: r.Capacity,
	}
}

// register writes the instance's entry to the store and renews it until ctx
// ends, then removes it.
func (f *Instance) register(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = f.registerWithLease(ctx)
		} else if err = f.config.Store.RenewLease(ctx, lease); errors.Is(err, store.ErrLeaseEnded) {
			lease = 0
			continue
		}
		pause := renewPeriod
		if err != nil {
			f.config.Log.Debug("registering instance or renewing its lease failed", zap.Error(err))
			pause = renewRetryPeriod
		}
		wait.For(ctx, pause)
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := f.config.Store.EndLease(ctx, lease); err != nil {
		f.config.Log.Info("ending registration lease failed; the entry will expire", zap.Error(err))
	}
}

// registerWithLease writes the instance's entry under a new lease.
func (f *Instance) registerWithLease(ctx context.Context) (lease int64, err error) {
	self := f.members.Self()
	value, err := json.Marshal(registration{self.ID, self.Incarnation, self.FailureDomain, self.PeerAddress, self.OperationsAddress, self.Capacity})
	if err != nil {
		return 0, err
	}
	lease, _, err = f.config.Store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	_, err = f.config.Store.Commit(ctx, store.Commit{Puts: []store.Put{{Key: instancesPrefix + self.ID, Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// applyInstance adds, replaces or removes a registered instance. publishInstances
// must be called afterwards.
func (f *Instance) applyInstance(item store.Item) {
	id := strings.TrimPrefix(item.Key, instancesPrefix)
	if item.Removed {
		delete(f.registered, id)
		return
	}
	r, err := decodeRegistration(item)
	if err != nil {
		f.config.Log.Warn("ignoring invalid instance entry", zap.String("instance-entry", id), zap.Error(err))
		return
	}
	if r.ID == f.config.ID && r.Incarnation != f.incarnation {
		f.restarted.Store(true)
	}
	f.registered[id] = r.member()
}

// publishInstances passes the registered instances on to the membership table and
// to other goroutines.
func (f *Instance) publishInstances() {
	listed := make([]membership.Member, 0, len(f.registered))
	for _, m := range f.registered {
		listed = append(listed, m)
	}
	f.members.MergeInstanceList(listed, time.Now())
	f.registeredSnapshot.Store(&listed)
	f.registeredCount.set(len(listed), f.now(), countHold)
	f.allowanceCount.set(len(listed), f.now(), allowanceCountHold)
	f.publishColdStart()
}

// instanceCount returns the number of instances that share the retry budgets, including this
// one. It is no less than the stored size of the fleet.
func (f *Instance) instanceCount() int {
	return max(1, f.registeredCount.get(f.now()), int(f.fleetSize.Load()))
}

// registeredIDs returns the IDs of the registered instances.
func (f *Instance) registeredIDs() (ids []string) {
	registered := f.registeredSnapshot.Load()
	if registered == nil {
		return nil
	}
	for _, m := range *registered {
		ids = append(ids, m.ID)
	}
	return ids
}

// recentMax holds a number. After a decrease, get returns the highest recent
// number until a time to hold it has passed since that number was last set, or since the
// first decrease after the previous hold ended. It is safe for concurrent use.
type recentMax struct {
	mu        sync.Mutex
	current   int
	highest   int
	holdUntil time.Time // when highest expires
}

func (r *recentMax) set(n int, now time.Time, hold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= r.highest || !now.Before(r.holdUntil) {
		r.highest = max(n, r.current)
		r.holdUntil = now.Add(hold)
	}
	r.current = n
}

func (r *recentMax) get(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.holdUntil) {
		return max(r.highest, r.current)
	}
	return r.current
}
