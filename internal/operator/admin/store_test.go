package admin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const catalogueFileFormat = `
based-on: %d
workspaces: [{name: mills, owner: %s}]
entries:
  - {name: sack-assist, owner: Asha, kind: language, class: batch, version: %s, move-by: "%s",
     objective: {first-token: 1s, between-tokens: 41ms, success: 0.99}}
`

func newCatalogueFile(t *testing.T, basedOn int64, owner, version string, moveBy time.Time) *catalogue.File {
	t.Helper()
	f, err := catalogue.ParseFile("f.yaml", fmt.Appendf(nil, catalogueFileFormat, basedOn, owner, version, moveBy.Format(time.RFC3339)))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// newOperator returns a Client with numbered operation IDs and without pauses.
func newOperator(name string, store kv.Store) *Client {
	n := 0
	return New(Config{
		Store:          store,
		Now:            func() time.Time { return start },
		Pause:          func(context.Context, time.Duration) error { return nil },
		NewOperationID: func() string { n++; return fmt.Sprintf("%s-%d", name, n) },
	})
}

func propose(t *testing.T, c *Client, f *catalogue.File) *Proposal {
	t.Helper()
	p, err := c.Propose(t.Context(), f, "Asha", "test")
	if err != nil {
		t.Fatalf("Propose = %v", err)
	}
	return p
}

// firstRevision is the revision of the first change. The counter of a new store
// is at 1, so the first write gets 2.
const firstRevision int64 = 2

// Guards against one operator overwriting another's change, and against a
// conflict error that does not list the other change.
func TestConcurrentApplyConflicts(t *testing.T) {
	is := is.New(t)
	store := kvtest.New()
	asha, jana := newOperator("asha", store), newOperator("jana", store)
	first, err := asha.Apply(t.Context(), propose(t, asha, newCatalogueFile(t, 0, "Asha", "v1", start)))
	is.NoErr(err)
	stale := propose(t, asha, newCatalogueFile(t, first, "Late", "v1", start))
	second, err := jana.Apply(t.Context(), propose(t, jana, newCatalogueFile(t, first, "Jana", "v1", start)))
	is.NoErr(err)

	_, err = asha.Apply(t.Context(), stale) // the catalogue changed after the proposal
	_, proposeErr := asha.Propose(t.Context(), newCatalogueFile(t, first, "Late", "v1", start), "Asha", "")
	for _, err := range []error{err, proposeErr} {
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Current, second)
		is.Equal(len(conflict.Changes), 1)
		is.Equal(conflict.Changes[0].Operation, "jana-1")
		is.True(!conflict.Incomplete)
		for _, want := range []string{"owner: Asha -> Jana", "2026-12-04T08:00:00Z", "catalogue show"} {
			is.True(strings.Contains(err.Error(), want))
		}
	}
	s, err := asha.Load(t.Context())
	is.NoErr(err)
	is.Equal(s.Catalogue.Workspaces[0].Owner, "Jana")
}

// faultyStore simulates lost responses to Put. If onPut is set, Put returns its
// error and delays the write until the Get that raises gets to 3. The delayed
// write is also a compare-and-swap: it has no effect if the key has changed.
type faultyStore struct {
	*kvtest.Store
	// onPut returns the error of Put and may write to the store itself.
	onPut func() error
	// gets counts the calls of Get while onGet is set. A test may set it above 3
	// so that the delayed write never happens.
	gets int
	// onGet is called with gets before each Get.
	onGet func(n int)
	// vetoError is the error of reading a veto, if it is set.
	vetoError error
}

func (s *faultyStore) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	if s.onPut == nil {
		return s.Store.Put(ctx, key, data, ifRevision)
	}
	writeLate := func() { _, _ = s.Store.Put(ctx, key, data, ifRevision) }
	s.onGet = func(n int) {
		if n == 3 {
			writeLate()
		}
	}
	return 0, s.onPut()
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv.Value, error) {
	if s.vetoError != nil && strings.HasPrefix(key, VetoPrefix) {
		return kv.Value{}, s.vetoError
	}
	if s.onGet != nil {
		s.gets++
		s.onGet(s.gets)
	}
	return s.Store.Get(ctx, key)
}

// Guards against repeating a write whose response was lost, and against
// reporting it as failed although it took effect.
func TestLostWriteResponses(t *testing.T) {
	t.Run("took effect", func(t *testing.T) {
		is := is.New(t)
		store := kvtest.New()
		c := newOperator("a", store)
		p := propose(t, c, newCatalogueFile(t, 0, "Asha", "v1", start))
		store.LoseResponses(1)
		revision, err := c.Apply(t.Context(), p)
		is.NoErr(err)
		is.Equal(revision, firstRevision)
		is.Equal(store.Calls().Put, 1)
	})
	t.Run("takes effect late", func(t *testing.T) {
		is := is.New(t)
		store := &faultyStore{Store: kvtest.New()}
		c := newOperator("a", store)
		p := propose(t, c, newCatalogueFile(t, 0, "Asha", "v1", start))
		store.onPut = func() error { return kv.ErrUnknown }
		revision, err := c.Apply(t.Context(), p)
		is.NoErr(err)
		is.Equal(revision, firstRevision)
	})
	t.Run("took effect and another change followed", func(t *testing.T) {
		is := is.New(t)
		store := &faultyStore{Store: kvtest.New()}
		c, other := newOperator("a", store), newOperator("b", store.Store)
		p := propose(t, c, newCatalogueFile(t, 0, "Asha", "v1", start))
		store.onPut = func() error {
			_, _ = store.Store.Put(t.Context(), CatalogueKey, p.data, 0)
			_, err := other.Apply(t.Context(), propose(t, other, newCatalogueFile(t, firstRevision, "Jana", "v1", start)))
			is.NoErr(err)
			return kv.ErrUnknown
		}
		revision, err := c.Apply(t.Context(), p)
		is.NoErr(err)
		is.Equal(revision, firstRevision+1)
	})
	t.Run("does not take effect", func(t *testing.T) {
		store := &faultyStore{Store: kvtest.New()}
		c := newOperator("a", store)
		p := propose(t, c, newCatalogueFile(t, 0, "Asha", "v1", start))
		store.onPut = func() error { return kv.ErrUnknown }
		store.gets = 100 // past the Get at which the write takes effect
		_, err := c.Apply(t.Context(), p)
		if !errorx.IsOfType(err, ErrOutcomeUnknown) || !strings.Contains(err.Error(), p.Next.Operation) || store.Calls().Put != 0 {
			t.Errorf("Apply = %v with %d writes, want ErrOutcomeUnknown with operation %s and no second write", err, store.Calls().Put, p.Next.Operation)
		}
	})
}

// Guards against starting a move from a version that was rolled back, which
// happens if the veto of the previous move is not read.
func TestProposeReadsVetoes(t *testing.T) {
	is := is.New(t)
	store := &faultyStore{Store: kvtest.New()}
	c := newOperator("a", store)
	basedOn := int64(0)
	for _, version := range []string{"v1", "v2"} {
		var err error
		basedOn, err = c.Apply(t.Context(), propose(t, c, newCatalogueFile(t, basedOn, "Asha", version, start.Add(time.Hour))))
		is.NoErr(err)
	}
	s, err := c.Load(t.Context())
	is.NoErr(err)
	_, err = store.Put(t.Context(), VetoPrefix+s.Catalogue.Moves[0].ID, []byte("slow"), 0)
	is.NoErr(err)
	c.config.Now = func() time.Time { return start.Add(90 * time.Minute) }
	p := propose(t, c, newCatalogueFile(t, s.Revision, "Asha", "v3", start.Add(2*time.Hour)))
	is.Equal(p.Next.Moves[0].From, "v1")
	store.vetoError = kv.ErrUnavailable
	_, err = c.Propose(t.Context(), newCatalogueFile(t, s.Revision, "Asha", "v3", start.Add(2*time.Hour)), "", "")
	is.True(errorx.IsOfType(err, ErrStore))
}
