package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// apply applies a change of the store. Only the follower's goroutine calls it.
func (f *Instance) apply(c follow.Change) {
	f.applyMu.Lock()
	f.pool.Batch(func() { f.applyItems(c) })
	f.applyMu.Unlock()
	f.handler.StateChanged()
}

func (f *Instance) applyItems(c follow.Change) {
	listedServers := make(map[string]bool)
	instancesChanged, dutyHeld := c.Complete, false
	if c.Complete {
		clear(f.registered)
	}
	for _, item := range c.Items {
		if id, ok := strings.CutPrefix(item.Key, f.config.Format.ServersPrefix); ok {
			listedServers[id] = true
		}
		instancesChanged = instancesChanged || strings.HasPrefix(item.Key, instancesPrefix)
		dutyHeld = dutyHeld || item.Key == dutyKey
		f.applyItem(item, c.Peer)
	}
	f.publishEvacuations(c)
	if instancesChanged {
		f.publishInstances()
	}
	if !c.Complete {
		return
	}
	f.mover.applyListing(c)
	f.restoreUsage(c)
	if !dutyHeld {
		f.duty.Apply(store.Item{Key: dutyKey, Revision: c.Revision, Removed: true})
	}
	for _, id := range f.pool.IDs() {
		if !listedServers[id] {
			f.removeServer(id, 0)
		}
	}
}

// applyItem applies one item, which came from a peer, or from the store if peer is empty. A
// panic ends neither the process nor the follower, because another writer's item would then
// end all instances, again after each restart.
func (f *Instance) applyItem(item store.Item, peer string) {
	defer func() {
		if p := recover(); p != nil {
			f.config.Log.Error("applying store item panicked", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	format := &f.config.Format
	switch {
	case item.Key == format.ConfigKey:
		f.applyConfiguration(item, peer)
	case strings.HasPrefix(item.Key, format.ServersPrefix):
		f.applyServer(strings.TrimPrefix(item.Key, format.ServersPrefix), item)
	case strings.HasPrefix(item.Key, instancesPrefix):
		f.applyInstance(item)
	case format.EvacuationPrefix != "" && strings.HasPrefix(item.Key, format.EvacuationPrefix):
		f.applyEvacuation(item)
	case strings.HasPrefix(item.Key, format.MovesPrefix):
		f.mover.applyOrder(item)
	case strings.HasPrefix(item.Key, movesPrefix):
		f.mover.applyRecord(item)
	case strings.HasPrefix(item.Key, planPrefix):
		f.applyPlan(item)
	case item.Key == dutyKey:
		f.duty.Apply(item)
	case item.Key == fleetSizeKey:
		f.applyFleetSize(item)
	}
}

// applyConfiguration offers a configuration, which came from a peer, or from the store if peer
// is empty.
func (f *Instance) applyConfiguration(item store.Item, peer string) {
	if item.Removed {
		return
	}
	v, err := f.decodeConfiguration(item.Value, item.Revision, peer)
	if err != nil {
		f.config.Log.Error("decoding configuration failed; keeping the current one", zap.Int64("revision", item.Revision), zap.String("peer", peer), zap.Error(err))
		return
	}
	f.offerConfiguration(v)
}

// errOwnAddress means that an entry names an address of this instance as that of a
// server. The instance would send requests to itself, again and again.
var errOwnAddress = errors.New("address is one of this instance")

// listenAddresses returns the addresses of listeners.
func listenAddresses(ls ...net.Listener) map[netip.AddrPort]bool {
	addresses := make(map[netip.AddrPort]bool)
	for _, l := range ls {
		addresses[unmapped(l.Addr().String())] = true
	}
	delete(addresses, netip.AddrPort{})
	return addresses
}

// unmapped parses an address, and turns an IPv4-mapped IPv6 address into the IPv4
// address. It returns the zero value if the address is invalid.
func unmapped(address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// applyServer applies a server's entry. The pages of a listing are not a
// consistent snapshot, so an old revision of an entry may follow a newer one.
func (f *Instance) applyServer(id string, item store.Item) {
	if item.Revision < f.serverRevisions[id] {
		return
	}
	f.serverRevisions[id] = item.Revision
	if item.Removed {
		f.removeServer(id, item.Revision)
		return
	}
	s, err := f.config.Format.DecodeServer(item.Key, item.Value)
	if err == nil && f.ownAddresses[unmapped(s.Address)] {
		err = errOwnAddress
	}
	if err != nil {
		// The entry may have been written over that of a known server, which must
		// not be used by it any longer.
		removed := f.pool.Remove(id, time.Time{})
		f.config.Log.Warn("server entry names no usable server", zap.String("server", id), zap.Int64("revision", item.Revision), zap.Bool("removed", removed), zap.Error(err))
		return
	}
	s.Revision = item.Revision
	if f.pool.Put(s, f.now()) {
		f.config.Log.Info("server added or changed", zap.String("server", id), zap.String("service", s.Service), zap.String("address", s.Address),
			zap.String("domain", s.FailureDomain), zap.Bool("leaving", s.Leaving), zap.Duration("cold-left", s.ColdLeft), zap.Int64("revision", item.Revision))
	}
}

// removeServer removes a server whose entry was removed from the store. revision
// is that of the removal, or 0 if the entry is missing from a full listing. If a
// call to the store failed shortly before, the entry may have lapsed although the
// server is still running, so the server is kept until the time that keepUntil
// returns.
func (f *Instance) removeServer(id string, revision int64) {
	until := keepUntil(f.now(), f.follower.LastFailure())
	if f.pool.Remove(id, until) || !until.IsZero() {
		f.config.Log.Info("server entry removed", zap.String("server", id), zap.Int64("revision", revision), zap.Bool("at-once", until.IsZero()))
	}
	if revision == 0 {
		delete(f.serverRevisions, id)
	}
}

// keepUntil returns the time until which a server is kept after its entry was
// removed from the store, or the zero time if it is to be removed at once. An
// entry that lapsed while the store was unavailable is registered again if its
// server is running. An entry that is removed later was removed on purpose.
func keepUntil(now, lastFailure time.Time) time.Time {
	if now.Sub(lastFailure) < lapseWindow {
		return now.Add(registrationGrace)
	}
	return time.Time{}
}

// expireServers periodically removes servers that did not register again in
// time, until ctx ends.
func (f *Instance) expireServers(ctx context.Context) {
	wait.Every(ctx, expiryCheckPeriod, func() {
		for _, id := range f.pool.Expire(f.now()) {
			f.config.Log.Info("server removed", zap.String("server", id), zap.String("reason", "entry was not registered again"))
		}
	})
}
