package platform

import (
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/platform"
)

// clock is a clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func start(t *testing.T, config Config) (*Server, string) {
	s := New(config)
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	t.Cleanup(s.Close)
	return s, h.URL
}

// Guards against a write that replaces a value other than the expected one.
func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, address := start(t, Config{})
	c := kv.New(platform.NewStore(address))
	_, err := c.Get(t.Context(), "journal/a b")
	is.True(errors.Is(err, kv.ErrAbsent))
	first, err := c.Put(t.Context(), "journal/a b", []byte("1"), 0)
	is.NoErr(err)
	_, err = c.Put(t.Context(), "journal/a b", []byte("2"), 0)
	is.True(errors.Is(err, kv.ErrConflict)) // a second create must not overwrite
	second, err := c.Put(t.Context(), "journal/a b", []byte("2"), first)
	is.NoErr(err)
	is.True(second > first)
	v, err := c.Watch(t.Context(), "journal/a b", first)
	is.NoErr(err)
	is.Equal(v, kv.Value{Data: []byte("2"), Revision: second})
	_, err = c.Put(t.Context(), "large", make([]byte, kv.MaxValueBytes+1), 0)
	is.True(errors.Is(err, kv.ErrTooLarge))
}

// Guards against a write that has no effect when only its response is lost, and
// against an outage that does not end a pending watch.
func TestStoreFaults(t *testing.T) {
	is := is.New(t)
	s, address := start(t, Config{})
	c := kv.New(platform.NewStore(address))
	is.NoErr(s.Inject(fault.Fault{Kind: LostResponse, Target: "kv/journal/"}))
	_, err := c.Put(t.Context(), "journal/1", []byte("1"), 0)
	is.True(errors.Is(err, kv.ErrUnknown))
	v, err := c.Get(t.Context(), "journal/1")
	is.NoErr(err)
	is.Equal(string(v.Data), "1")
	_, err = c.Put(t.Context(), "other", nil, 0) // the fault's target is another key
	is.NoErr(err)

	done := make(chan error)
	go func() {
		_, err := c.Watch(t.Context(), "journal/1", v.Revision)
		done <- err
	}()
	for s.Calls()["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(s.Inject(fault.Fault{Kind: Outage, Target: "kv"}))
	is.True(errors.Is(<-done, kv.ErrUnavailable))
	_, err = c.Put(t.Context(), "other", nil, 0)
	is.True(errors.Is(err, kv.ErrUnavailable))
}

// Guards against a lease that remains valid after its TTL or the fault EndLeases.
func TestLeases(t *testing.T) {
	is := is.New(t)
	now := &clock{now: time.Unix(1000, 0)}
	s, address := start(t, Config{Now: now.Now})
	c := platform.NewStore(address)
	put := func(lease int64) error {
		_, err := c.Commit(t.Context(), store.Commit{Puts: []store.Put{{Key: "owner", Lease: lease}}})
		return err
	}
	l, _, err := c.GrantLease(t.Context(), time.Minute)
	is.NoErr(err)
	is.NoErr(put(l))
	now.advance(50 * time.Second)
	is.NoErr(c.RenewLease(t.Context(), l))
	now.advance(59 * time.Second)
	_, err = c.Get(t.Context(), "owner")
	is.NoErr(err)
	now.advance(time.Second)
	_, err = c.Get(t.Context(), "owner")
	is.True(errors.Is(err, store.ErrAbsent))
	is.True(errors.Is(c.RenewLease(t.Context(), l), store.ErrLeaseEnded))

	next, _, err := c.GrantLease(t.Context(), time.Minute)
	is.NoErr(err)
	is.NoErr(s.Inject(fault.Fault{Kind: EndLeases}))
	is.True(errors.Is(put(next), store.ErrLeaseEnded))
}

// Guards against calls over the rate limit that are executed or not counted.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	now := &clock{now: time.Unix(1000, 0)}
	s, address := start(t, Config{Now: now.Now, WritesPerSecond: 1})
	c := kv.New(platform.NewStore(address))
	_, err := c.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	_, err = c.Put(t.Context(), "b", nil, 0)
	is.True(errors.Is(err, kv.ErrUnavailable)) // exceeds the limit of 1 write per second
	is.Equal(s.Calls()["rate-limited"], 1)
	now.advance(time.Second)
	_, err = c.Put(t.Context(), "b", nil, 0)
	is.NoErr(err)
}

// Guards against a list that shows a reclaim before the list lag has passed,
// and against a reclaimed instance that registers itself as live again.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	now := &clock{now: time.Unix(1000, 0)}
	s, address := start(t, Config{Now: now.Now, ListLag: 10 * time.Second})
	c := instances.New(instances.Config{Address: address})
	i := instances.Instance{ID: "e1", Role: instances.RoleBackend, FailureDomain: "zlin", State: instances.StateLive, Reclaimable: true}
	is.NoErr(c.Register(t.Context(), i))
	is.True(errors.Is(c.Register(t.Context(), instances.Instance{ID: "e2"}), instances.ErrRejected))
	now.advance(time.Second)
	deadline := now.Now().Add(30 * time.Second).UTC()
	is.NoErr(s.Inject(fault.Fault{Kind: Reclaim, Target: "zlin", Until: deadline}))
	is.NoErr(c.Register(t.Context(), i))
	notices, next, err := cloud.New(cloud.Config{Address: address}).Notices(t.Context(), 0)
	is.NoErr(err)
	is.Equal(next, int64(1))
	is.Equal(notices, []cloud.Notice{{Sequence: 1, Instance: "e1", Deadline: deadline}})
	state := func() string {
		is.Helper()
		list, err := c.List(t.Context())
		is.NoErr(err)
		if len(list) == 0 {
			return "absent"
		}
		return list[0].State
	}
	is.Equal(state(), instances.StateLive)
	now.advance(10 * time.Second)
	is.Equal(state(), instances.StateLeaving)
	now.advance(20 * time.Second)
	is.Equal(state(), instances.StateLeaving)
	now.advance(10 * time.Second)
	is.Equal(state(), "absent")
}

// Guards against the fault RefuseInstances allowing its target or refusing
// another class.
func TestRefusedLaunch(t *testing.T) {
	is := is.New(t)
	s, address := start(t, Config{})
	c := cloud.New(cloud.Config{Address: address})
	is.NoErr(s.Inject(fault.Fault{Kind: RefuseInstances, Target: "large"}))
	_, err := c.Launch(t.Context(), cloud.LaunchRequest{Class: "large", FailureDomain: "zlin"})
	is.True(errors.Is(err, cloud.ErrRefused))
	id, err := c.Launch(t.Context(), cloud.LaunchRequest{Class: "small", FailureDomain: "zlin"})
	is.NoErr(err)
	is.True(id != "")
}
