package metastore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of items in a page of a listing, and pageBytes the size
	// of their values from which on a page is complete.
	pageSize  = 50
	pageBytes = 1 << 20
	// maxHistory is the number of recent changes that are kept for watches;
	// the history is trimmed when it is more than a tenth longer.
	maxHistory = 2000
)

// Item is a key of the store in its wire format.
type Item struct {
	Key       string `json:"key"`
	Val       []byte `json:"val,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Faults are the active faults of a Store.
type Faults struct {
	// RejectStatus, if not 0, is the status with which all calls are rejected.
	RejectStatus int
	// NoResponse leaves all calls unanswered.
	NoResponse bool
	// LoseResponses executes POST calls, but closes their connections without a
	// response.
	LoseResponses bool
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a fake of the key-value service. Its methods are safe for concurrent
// use.
type Store struct {
	now       func() time.Time
	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
	era       int64 // 0: replies do not say it
}

// Copy is a copy of a Store's state.
type Copy struct {
	revision, compacted, nextLease int64
	items                          map[string]Item
	history                        []Item
	leases                         map[int64]lease
}

// New returns an empty store.
func New() *Store { return NewWithClock(time.Now) }

// NewWithClock returns an empty store whose leases expire by the given clock.
func NewWithClock(now func() time.Time) *Store {
	return &Store{now: now, revision: 1, items: make(map[string]Item), leases: make(map[int64]lease), nextLease: 1 << 50, changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Copy returns a copy of the state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, s.compacted, s.nextLease, maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.leases)}
}

// Restore returns to the state of a copy and begins a new era: revisions and lease IDs that
// were given out since are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compacted, s.nextLease = c.revision, c.compacted, c.nextLease
	s.items, s.history, s.leases = maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)
	s.notifyWatches()
}

// BeginEras lets the replies say the era of the store, which is 1 then.
func (s *Store) BeginEras() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 1
}

// EndLeases ends all leases and removes their keys without notifying the
// holders.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Compact drops the history; watches after an earlier revision fail with status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notifyWatches()
}

// Put writes any key, also one under op/ or servers/, which commits may not
// write. v is encoded as JSON unless it is a []byte.
func (s *Store) Put(key string, v any) {
	value, ok := v.([]byte)
	if !ok {
		var err error
		if value, err = json.Marshal(v); err != nil {
			panic("metastore: " + err.Error()) // a value that cannot be encoded is an error in the test
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns a key's value.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	return item.Val, ok
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, n := range s.calls {
		calls[path] = n
	}
	return calls
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	item := Item{Key: key, Val: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if have, ok := s.items[key]; ok {
		item.Created = have.Created
	}
	s.items[key] = item
	s.record(item)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(Item{Key: key, Revision: s.revision, Tombstone: true})
}

// record adds a change to the history and notifies watches.
func (s *Store) record(item Item) {
	s.history = append(s.history, item)
	if n := len(s.history) - maxHistory; n > maxHistory/10 {
		s.compacted = s.history[n-1].Revision
		s.history = append([]Item(nil), s.history[n:]...)
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f, era := s.faults, s.era
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	switch {
	case f.NoResponse:
		// The server detects the end of the connection only after the request
		// body has been read.
		_, _ = io.Copy(io.Discard, r.Body) // the caller is expected to disconnect
		<-r.Context().Done()
		return
	case f.RejectStatus != 0:
		w.WriteHeader(f.RejectStatus)
		return
	}
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	status, reply := s.dispatch(r, path, id)
	if f.LoseResponses && r.Method == http.MethodPost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply) // an error means that the caller has disconnected
	}
}

func (s *Store) dispatch(r *http.Request, path, id string) (int, any) {
	switch path {
	case "kv-key":
		return s.getKey(r.URL.Query().Get("key"))
	case "kv-range":
		return s.list(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	case "kv-watch":
		return s.watch(r)
	case "kv-txn":
		return s.commit(r)
	case "kv-lease":
		return s.grantLease(r)
	case "kv-keep", "kv-lease-end":
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		return s.renewOrEndLease(n, path == "kv-lease-end")
	}
	return http.StatusNotFound, nil
}

func (s *Store) getKey(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, item
}

func (s *Store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, size := []Item{}, 0
	for _, key := range keys {
		if len(entries) == pageSize || size >= pageBytes {
			break
		}
		entries = append(entries, s.items[key])
		size += len(s.items[key].Val)
	}
	return http.StatusOK, map[string]any{"entries": entries, "more_pages": len(entries) < len(keys), "as_of": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	prefix := r.URL.Query().Get("path_prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)  // 0 watches from the start
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64) // 0 doesn't wait
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire()
		if after < s.compacted || after > s.revision || s.era != era {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []Item{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		reply := map[string]any{"events": events, "as_of": s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond): // a lease may have expired
		case <-end.C:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *Store) commit(r *http.Request) (int, any) {
	var c struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Val   []byte `json:"val"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range c.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"entries": []Item{s.items[e.Key]}}
		}
	}
	for _, p := range c.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range c.Puts {
		s.put(p.Key, p.Val, p.Lease)
	}
	for _, key := range c.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *Store) grantLease(r *http.Request) (int, any) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.nextLease] = lease{ttl, s.now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.nextLease, "ttl_ms": body.TTLMs}
}

func (s *Store) renewOrEndLease(id int64, end bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	if end {
		s.endLease(id)
		return http.StatusOK, nil
	}
	l.end = s.now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
}
