package journal_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	decide "wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

// mesh connects journals with direct calls. Calls to unreachable and to unknown
// instances fail.
type mesh struct {
	mu          sync.Mutex
	journals    map[string]*journal.Journal
	unreachable map[string]bool
}

var errUnreachable = errors.New("unreachable")

func (m *mesh) lookup(id string) (*journal.Journal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable[id] || m.journals[id] == nil {
		return nil, errUnreachable
	}
	return m.journals[id], nil
}

func (m *mesh) setUnreachable(id string, unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable[id] = unreachable
}

func (m *mesh) Reserve(ctx context.Context, id string, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	j, err := m.lookup(id)
	if err != nil {
		return nil, err
	}
	reply, err := j.ServeReserve(ctx, r)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return reply, err
}

func (m *mesh) Complete(ctx context.Context, id string, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
	j, err := m.lookup(id)
	if err != nil {
		return nil, err
	}
	return j.ServeComplete(ctx, r)
}

// fastConfig returns a configuration with short delays and timeouts.
func fastConfig(store kv.Store, shards uint32) journal.Config {
	return journal.Config{
		Store: store, Shards: shards, WriteInterval: 500 * time.Microsecond, CompletionDelay: time.Millisecond,
		StoreTimeout: 100 * time.Millisecond, PeerTimeout: 50 * time.Millisecond, RetryInterval: 5 * time.Millisecond,
	}
}

func newMesh(t testing.TB, n int, c journal.Config) (*mesh, []*journal.Journal) {
	t.Helper()
	m := &mesh{journals: make(map[string]*journal.Journal), unreachable: make(map[string]bool)}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("entry-%d", i))
	}
	var js []*journal.Journal
	for i, id := range ids {
		c.Self, c.Incarnation, c.Peers, c.Live = id, int64(i+1), m, func() []string { return ids }
		j, err := journal.New(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(j.Close)
		m.mu.Lock()
		m.journals[id] = j
		m.mu.Unlock()
		js = append(js, j)
	}
	return m, js
}

func testKey(n int) (k decide.Key) {
	binary.BigEndian.PutUint64(k[:], xxhash.Sum64String(fmt.Sprint("key", n)))
	return k
}

// Guards against a wrong result for a repeated call: permission to run it a
// second time, a missing response, or another request's response.
func TestRepeatedCall(t *testing.T) {
	is := is.New(t)
	_, js := newMesh(t, 3, fastConfig(kvtest.New(), 2))
	ctx := t.Context()
	response := &decide.Response{Status: 201, ContentType: "text/plain", Body: []byte("paid")}
	for n := range 20 {
		k := testKey(n)
		r, err := js[n%3].Reserve(ctx, k, fmt.Sprint("first", n), 7)
		is.NoErr(err)
		is.Equal(r.Status, decide.Reserved)
		r, err = js[(n+1)%3].Reserve(ctx, k, fmt.Sprint("second", n), 7)
		is.NoErr(err)
		is.Equal(r.Status, decide.Pending)
		recorded, err := js[n%3].Complete(ctx, k, fmt.Sprint("first", n), false, response)
		is.NoErr(err)
		is.True(recorded)
		r, err = js[(n+2)%3].Reserve(ctx, k, fmt.Sprint("third", n), 7)
		is.NoErr(err)
		is.Equal(r.Status, decide.Done)
		is.Equal(string(r.Response.Body), "paid")
		r, err = js[n%3].Reserve(ctx, k, fmt.Sprint("fourth", n), 8)
		is.NoErr(err)
		is.Equal(r.Status, decide.Mismatch)
	}
}

// Guards against a key that stays blocked although the backend server proved
// that the call did not run, and against a response over the size limit whose
// call is not recorded as done.
func TestNotRunFreesKeyAndLargeResponseIsNotKept(t *testing.T) {
	is := is.New(t)
	_, js := newMesh(t, 2, fastConfig(kvtest.New(), 2))
	ctx, k := t.Context(), testKey(1)
	_, err := js[0].Reserve(ctx, k, "a", 7)
	is.NoErr(err)
	_, err = js[0].Complete(ctx, k, "a", true, nil)
	is.NoErr(err)
	r, err := js[1].Reserve(ctx, k, "b", 7)
	is.NoErr(err)
	is.Equal(r.Status, decide.Reserved)
	_, err = js[1].Complete(ctx, k, "b", false, &decide.Response{Body: make([]byte, decide.MaxResponseBytes+1)})
	is.NoErr(err)
	r, err = js[0].Reserve(ctx, k, "c", 7)
	is.NoErr(err)
	is.Equal(r.Status, decide.DoneWithoutResponse)
}

// Guards against a lost store reply or a store outage that lets an attempt run
// without a durable reservation, or that blocks its key permanently.
func TestLostReplyOrOutageKeepsKeyUsable(t *testing.T) {
	is := is.New(t)
	store := kvtest.New()
	_, js := newMesh(t, 2, fastConfig(store, 1))
	store.LoseResponses(1)
	r, err := js[0].Reserve(t.Context(), testKey(1), "a", 7)
	is.NoErr(err)
	is.Equal(r.Status, decide.Reserved) // determined by reading the shard back

	store.SetOutage(true)
	_, err = js[0].Reserve(t.Context(), testKey(2), "b", 7)
	is.True(err != nil)
	store.SetOutage(false)
	reserved := false
	for i := range 300 {
		r, err = js[1].Reserve(t.Context(), testKey(2), fmt.Sprint("c", i), 7)
		if err == nil && r.Status == decide.Reserved {
			reserved = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(reserved) // the key is usable after the outage
}

// fakeOwner is a peer that grants each reservation unless the call's context has
// ended.
type fakeOwner struct {
	journal.Peers
	calls int
}

func (o *fakeOwner) Reserve(ctx context.Context, _ string, _ *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	o.calls++
	return &peerpb.ReserveReply{Status: peerpb.Status_STATUS_RESERVED}, ctx.Err()
}

// Guards against considering an owner unreachable because a client cancelled
// its call. Its shard would then be written by two instances.
func TestOwnerIsKeptAfterCancelledCall(t *testing.T) {
	is := is.New(t)
	o := new(fakeOwner)
	c := fastConfig(kvtest.New(), 1)
	c.Self, c.Incarnation, c.Peers, c.Live = "a", 1, o, func() []string { return []string{"b"} }
	j, err := journal.New(c)
	is.NoErr(err)
	defer j.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = j.Reserve(ctx, testKey(1), "first", 1)
	is.True(err != nil)
	_, err = j.Reserve(t.Context(), testKey(1), "second", 1)
	is.NoErr(err)
	is.Equal(o.calls, 2) // both calls were sent to the owner
}
