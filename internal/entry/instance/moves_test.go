package instance

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

var moveStart = time.Unix(100_000, 0)

// testMove is a move that takes an hour; its old version is kept for another hour.
var testMove = catalogue.Move{
	ID: "e-1", Entry: "e", From: "old", To: "new",
	Start: moveStart, Deadline: moveStart.Add(time.Hour), KeepUntil: moveStart.Add(2 * time.Hour),
}

func newTestMoveController(t *testing.T, store kv.Store, now *time.Time) *moveController {
	t.Helper()
	metrics, err := burn.New(burn.Config{Registry: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	m := &moveController{
		policy: move.Sequential{}, evidence: new(evidence.Table), isolated: func(time.Time) bool { return false },
		store: store, now: func() time.Time { return *now }, log: zap.NewNop(), metrics: metrics,
		isHolder: func() bool { return false }, serves: func(string, string) bool { return true },
		wake: make(chan struct{}, 1), catalogueChanged: make(chan struct{}, 1), vetoStored: make(map[string]bool),
	}
	m.vetoes = newVetoes(m.onVeto)
	return m
}

func (m *moveController) acceptMoves(revision int64, moves ...catalogue.Move) {
	m.accept(catalogue.NewSnapshot(revision, &catalogue.Catalogue{
		Entries: []catalogue.Entry{{Name: "e", Version: "new"}}, Moves: moves,
	}))
}

func (m *moveController) versionOf(conversation uint64) string {
	version, _, _ := m.Version(&m.Snapshot().Catalogue.Entries[0], conversation)
	return version
}

// Guards against a new instance that sends requests to a version that was rolled
// back because it has not read the veto from the store. The old version must be
// used after KeepUntil as well, when versions are no longer compared.
func TestNewInstanceReadsVetoFromStore(t *testing.T) {
	for name, at := range map[string]time.Time{
		"during the move":  moveStart.Add(30 * time.Minute),
		"after keep-until": moveStart.Add(3 * time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := kvtest.New()
			data, err := json.Marshal(veto{Move: testMove.ID, Reason: "more failures than the old version", At: moveStart})
			is.NoErr(err)
			_, err = store.Put(t.Context(), "vetoes/"+testMove.ID, data, 0)
			is.NoErr(err)
			m := newTestMoveController(t, store, &at)
			m.acceptMoves(1, testMove)
			is.True(!m.vetoesKnown.Load())
			m.syncVetoesOnce(t.Context())
			is.True(m.vetoesKnown.Load())
			m.decide()
			for conversation := range uint64(100) {
				is.Equal(m.versionOf(conversation<<56), "old")
			}
		})
	}
}

// Guards against an instance that reports ready during a store outage before the
// vetoes are known.
func TestVetoesUnknownDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	store, now := kvtest.New(), moveStart.Add(time.Minute)
	store.SetOutage(true)
	m := newTestMoveController(t, store, &now)
	m.acceptMoves(1, testMove)
	m.syncVetoesOnce(t.Context())
	is.True(!m.vetoesKnown.Load())
	store.SetOutage(false)
	m.syncVetoesOnce(t.Context())
	is.True(m.vetoesKnown.Load())
}

// Guards against a veto that is lost when the instances that know it stop: the
// watch holder writes it to the store, once.
func TestHolderWritesVetoOnce(t *testing.T) {
	is := is.New(t)
	store, now := kvtest.New(), moveStart.Add(time.Minute)
	m := newTestMoveController(t, store, &now)
	m.acceptMoves(1, testMove)
	m.syncVetoesOnce(t.Context())
	m.vetoes.Put(veto{Move: testMove.ID, Reason: "more failures than the old version", At: now})
	m.syncVetoesOnce(t.Context())
	_, err := store.Get(t.Context(), "vetoes/"+testMove.ID)
	is.Equal(err, kv.ErrAbsent) // this instance is not the watch holder
	m.isHolder = func() bool { return true }
	m.syncVetoesOnce(t.Context())
	m.syncVetoesOnce(t.Context())
	value, err := store.Get(t.Context(), "vetoes/"+testMove.ID)
	is.NoErr(err)
	is.True(json.Valid(value.Data))
	is.Equal(store.Calls().Put, 1)
	m.decide()
	is.Equal(m.versionOf(0), "old")
}
