package front

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// apply takes what the store told.
func (f *Front) apply(c follow.Change) {
	seen := make(map[string]bool)
	peers, held := c.Whole, false
	if c.Whole {
		clear(f.registered)
	}
	for _, item := range c.Items {
		switch {
		case item.Key == f.config.Format.ConfigKey:
			f.applyTable(item)
		case strings.HasPrefix(item.Key, f.config.Format.ServersPrefix):
			id := strings.TrimPrefix(item.Key, f.config.Format.ServersPrefix)
			seen[id] = true
			f.applyServer(id, item)
		case strings.HasPrefix(item.Key, instancesPrefix):
			peers = true
			f.applyInstance(item)
		case strings.HasPrefix(item.Key, f.config.Format.MovesPrefix):
			f.mover.applyOrder(item)
		case strings.HasPrefix(item.Key, movesPrefix):
			f.mover.applyRecord(item)
		case strings.HasPrefix(item.Key, planPrefix):
			f.applyPlan(item)
		case item.Key == dutyKey:
			held = true
			f.duty.Seen(item)
		}
	}
	if peers {
		f.listInstances()
	}
	if !c.Whole {
		return
	}
	if !held {
		f.duty.Seen(store.Item{Key: dutyKey, Revision: c.Revision, Removed: true})
	}
	for _, id := range f.pool.IDs() {
		if !seen[id] {
			f.removeServer(id, 0)
		}
	}
}

// applyTable puts a configuration in force unless it is older than the one at
// hand.
func (f *Front) applyTable(item store.Item) {
	if item.Removed {
		return
	}
	t, err := f.config.Format.Table(item.Value)
	if err != nil {
		f.config.Log.Error("configuration is not readable; the last one stays in force", zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	if have := f.table.Load(); have != nil && have.Version >= t.Version {
		return
	}
	f.table.Store(t)
	f.config.Log.Info("configuration in force", zap.Int64("version", t.Version), zap.Int64("revision", item.Revision), zap.Int("routes", len(t.Routes)))
}

// applyServer takes a server's entry. The pages of a listing are no snapshot,
// so an entry may come again after a newer one.
func (f *Front) applyServer(id string, item store.Item) {
	if item.Revision < f.revisions[id] {
		return
	}
	f.revisions[id] = item.Revision
	if item.Removed {
		f.removeServer(id, item.Revision)
		return
	}
	s, err := f.config.Format.Server(item.Key, item.Value)
	if err != nil {
		f.config.Log.Warn("entry names no server to use", zap.String("server", id), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	if f.pool.Put(s, f.now()) {
		f.config.Log.Info("server changed", zap.String("server", id), zap.String("service", s.Service), zap.String("address", s.Address),
			zap.String("domain", s.FailureDomain), zap.Bool("leaving", s.Leaving), zap.Int64("revision", item.Revision))
	}
}

// removeServer drops a server whose entry is gone. While the store has trouble
// an entry may have lapsed although its server lives.
func (f *Front) removeServer(id string, revision int64) {
	until := keepUntil(f.now(), f.follower.Trouble())
	if f.pool.Remove(id, until) || !until.IsZero() {
		f.config.Log.Info("entry of a server is gone", zap.String("server", id), zap.Int64("revision", revision), zap.Bool("at-once", until.IsZero()))
	}
	if revision == 0 {
		delete(f.revisions, id)
	}
}

// keepUntil returns until when a server is kept whose entry is gone; the zero
// time drops it at once. An entry that lapsed while the store was away comes
// back if its server lives; what goes later was removed on purpose.
func keepUntil(now, trouble time.Time) time.Time {
	if now.Sub(trouble) < regained {
		return now.Add(entryGrace)
	}
	return time.Time{}
}
