package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/duty"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against a server that still receives requests two seconds after it left
// because a call to the store failed shortly before it left.
func TestRemovedServerKeptOnlyAfterStoreFailure(t *testing.T) {
	const leave = 2 * time.Second // time after which it must receive no requests
	now := time.Unix(1000, 0)
	tests := []struct {
		name        string
		lastFailure time.Time
		keep        bool
	}{
		{"store never failed", time.Time{}, false},
		{"store failed 1.2 s ago", now.Add(-1200 * time.Millisecond), false},
		{"store failed just now", now.Add(-100 * time.Millisecond), true},
	}
	for _, tt := range tests {
		until := keepUntil(now, tt.lastFailure)
		if got := !until.IsZero(); got != tt.keep {
			t.Errorf("%s: kept until %v, want kept %v", tt.name, until, tt.keep)
		}
		if until.Sub(now) >= leave && tt.keep {
			t.Errorf("%s: kept for %v, want less than %v", tt.name, until.Sub(now), leave)
		}
	}
}

// newApplying returns an instance that can apply servers' entries. The value of an
// entry is the service of its server, "unreadable", or "panics" for one that the
// decoder panics on.
func newApplying() *Instance {
	decode := func(key string, data []byte) (pool.Registration, error) {
		if string(data) == "panics" {
			panic("decoder")
		}
		if string(data) == "unreadable" {
			return pool.Registration{}, errors.New("unreadable")
		}
		return pool.Registration{ID: key[len("servers/"):], Service: string(data), Address: "127.0.0.1:1"}, nil
	}
	return &Instance{
		config: Config{Format: Format{ServersPrefix: "servers/", DecodeServer: decode}, Log: zap.NewNop()},
		now:    time.Now, pool: pool.New(), follower: follow.New(follow.Config{}), serverRevisions: make(map[string]int64),
		registered: make(map[string]membership.Member), members: membership.NewTable(membership.Config{}), duty: duty.New(duty.Config{Log: zap.NewNop()}), mover: newMover(nil),
	}
}

// usableServers returns the IDs of the usable servers of a service.
func usableServers(f *Instance, service string) (ids []string) {
	for _, w := range f.pool.Service(service) {
		if w.Usable() {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// Guards against requests to a server whose entry has become unreadable, and against
// an unreadable entry that affects other servers or stays in effect after the server
// has written its own again.
func TestUnreadableEntryNamesNoServer(t *testing.T) {
	items := func(revision int64, value string) []store.Item {
		return []store.Item{{Key: "servers/a", Value: []byte("s"), Revision: 1}, {Key: "servers/b", Value: []byte(value), Revision: revision}}
	}
	steps := []struct {
		name   string
		change follow.Change
		want   []string
	}{
		{"unreadable from the start", follow.Change{Items: items(2, "unreadable"), Complete: true, Revision: 2}, []string{"a"}},
		{"readable", follow.Change{Items: items(3, "s")[1:]}, []string{"a", "b"}},
		{"unreadable by a watch", follow.Change{Items: items(4, "unreadable")[1:]}, []string{"a"}},
		{"readable again", follow.Change{Items: items(5, "s")[1:]}, []string{"a", "b"}},
		{"unreadable by a listing", follow.Change{Items: items(6, "unreadable"), Complete: true, Revision: 6}, []string{"a"}},
		{"an older entry", follow.Change{Items: items(5, "s")[1:]}, []string{"a"}},
		{"readable after the listing", follow.Change{Items: items(7, "s")[1:]}, []string{"a", "b"}},
	}
	f := newApplying()
	for _, s := range steps {
		f.applyItems(s.change)
		if got := usableServers(f, "s"); !slices.Equal(got, s.want) {
			t.Errorf("%s: got servers %v, want %v", s.name, got, s.want)
		}
	}
}

// Guards against an entry that ends the process or stops the follower because its
// decoder panics.
func TestPanicOnEntryAffectsNoOtherEntry(t *testing.T) {
	f := newApplying()
	f.apply(follow.Change{Items: []store.Item{{Key: "servers/a", Value: []byte("panics"), Revision: 1}, {Key: "servers/b", Value: []byte("s"), Revision: 2}}})
	if got := usableServers(f, "s"); !slices.Equal(got, []string{"b"}) {
		t.Errorf("got servers %v, want b", got)
	}
}

// committedStore records the last commit and accepts it.
type committedStore struct {
	store.Store
	last store.Commit
}

func (s *committedStore) Commit(_ context.Context, c store.Commit) (int64, error) {
	s.last = c
	return c.Conditions[0].Revision + 1, nil
}

// Guards against a rolled-back version that gets requests again, and against a move
// that is never recorded, because another writer has overwritten the record.
func TestOverwrittenMoveRecordIsRestored(t *testing.T) {
	const valid = `{"id":"move/s/v2/3","service":"s","to":"v2","start":"2026-01-01T00:00:00Z","deadline":"2026-01-01T00:01:00Z","finish":"2026-01-01T00:02:00Z","state":"rolled-back"}`
	tests := map[string]string{
		"not JSON":           `{"id":`,
		"empty":              ``,
		"unknown state":      strings.Replace(valid, "rolled-back", "odd", 1),
		"another service":    strings.Replace(valid, `"service":"s"`, `"service":"t"`, 1),
		"time out of range":  strings.Replace(valid, "2026-01-01T00:01", "99999-01-01T00:01", 1),
		"ends before begins": strings.Replace(valid, "2026-01-01T00:01", "2025-01-01T00:01", 1),
	}
	for name, odd := range tests {
		for _, known := range []bool{false, true} {
			f, s := newApplying(), &committedStore{}
			f.config.Store = s
			m := newMover(f)
			m.orders["s"] = receivedOrder{MoveOrder: MoveOrder{Service: "s", To: "v2", Within: time.Minute}, revision: 3, receivedAt: time.Now()}
			want := MoveRunning
			if known {
				want = MoveRolledBack
				m.applyRecord(store.Item{Key: movesPrefix + "s", Value: []byte(valid), Revision: 5})
			}
			m.applyRecord(store.Item{Key: movesPrefix + "s", Value: []byte(odd), Revision: 6})
			m.decide(time.Now())
			if m.Choose("s", "", 0).UseNewVersion {
				t.Errorf("%s, known %v: the new version gets requests", name, known)
			}
			m.recordMoves(t.Context(), time.Now())
			if len(s.last.Conditions) != 1 || s.last.Conditions[0].Revision != 6 || m.records["s"].State != want || m.records["s"].overwritten {
				t.Errorf("%s, known %v: wrote %+v and has %+v, want a record with state %q at revision 6", name, known, s.last, m.records["s"], want)
			}
		}
	}
}
