package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// instancesPrefix is where instances register in the store.
	instancesPrefix = "wasabiworks/instances/"
	// registerTTL is how long the entry of a silent instance stays, and
	// registerEvery how often it is renewed.
	registerTTL   = 8 * time.Second
	registerEvery = 2500 * time.Millisecond
	// countKept is how long instances count whose entries are gone. When leases
	// lapse while the store is away, all entries go at once although the
	// instances live.
	countKept = 10 * time.Second
)

// registration is an instance's entry in the store.
type registration struct {
	ID            string `json:"id"`
	Incarnation   int64  `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
	PeerAddress   string `json:"peer-address"`
	// OperationsAddress is where operators read metrics.
	OperationsAddress string `json:"operations-address,omitempty"`
}

// Registered returns the instances that are registered in a store.
func Registered(ctx context.Context, s store.Store) ([]membership.Member, error) {
	items, _, err := s.List(ctx, instancesPrefix)
	if err != nil {
		return nil, err
	}
	ms := make([]membership.Member, 0, len(items))
	for _, item := range items {
		var r registration
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return nil, fmt.Errorf("entry %s: %w", item.Key, err)
		}
		ms = append(ms, r.member())
	}
	return ms, nil
}

func (r registration) member() membership.Member {
	return membership.Member{
		ID: r.ID, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress, OperationsAddress: r.OperationsAddress,
	}
}

// register keeps the instance's entry in the store until ctx ends, then removes
// it.
func (f *Front) register(ctx context.Context) {
	var lease int64
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = f.registerAnew(ctx)
		} else if err = f.config.Store.Renew(ctx, lease); errors.Is(err, store.ErrLeaseEnded) {
			lease = 0
			continue
		}
		pause := registerEvery
		if err != nil {
			f.config.Log.Debug("registration failed", zap.Error(err))
			pause = time.Second
		}
		wait.For(ctx, pause)
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := f.config.Store.End(ctx, lease); err != nil {
		f.config.Log.Info("registration runs out by itself", zap.Error(err))
	}
}

func (f *Front) registerAnew(ctx context.Context) (lease int64, err error) {
	self := f.members.Self()
	value, err := json.Marshal(registration{self.ID, self.Incarnation, self.FailureDomain, self.PeerAddress, self.OperationsAddress})
	if err != nil {
		return 0, err
	}
	lease, _, err = f.config.Store.Grant(ctx, registerTTL)
	if err != nil {
		return 0, err
	}
	_, err = f.config.Store.Commit(ctx, store.Commit{Puts: []store.Put{{Key: instancesPrefix + self.ID, Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

// applyInstance takes an instance's entry.
func (f *Front) applyInstance(item store.Item) {
	id := strings.TrimPrefix(item.Key, instancesPrefix)
	if item.Removed {
		delete(f.registered, id)
		return
	}
	var r registration
	if err := json.Unmarshal(item.Value, &r); err != nil || r.ID != id {
		f.config.Log.Warn("entry names no instance", zap.String("instance-entry", id), zap.Error(err))
		return
	}
	f.registered[id] = r.member()
}

// listInstances publishes the registered instances.
func (f *Front) listInstances() {
	listed := make([]membership.Member, 0, len(f.registered))
	for _, m := range f.registered {
		listed = append(listed, m)
	}
	f.members.List(listed, time.Now())
	f.listed.Store(&listed)
	f.count.set(len(listed), f.now())
}

// instances returns the number of instances that share budgets, this one
// included.
func (f *Front) instances() int { return max(1, f.count.get(f.now())) }

// registeredNow returns the registered instances.
func (f *Front) registeredNow() (ids []string) {
	l := f.listed.Load()
	if l == nil {
		return nil
	}
	for _, m := range *l {
		ids = append(ids, m.ID)
	}
	return ids
}

// recent is a number that falls only after some time.
type recent struct {
	mu      sync.Mutex
	current int
	most    int
	until   time.Time // when most no longer counts
}

func (r *recent) set(n int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= r.most || !now.Before(r.until) {
		r.most = max(n, r.current)
		r.until = now.Add(countKept)
	}
	r.current = n
}

func (r *recent) get(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.until) {
		return max(r.most, r.current)
	}
	return r.current
}
