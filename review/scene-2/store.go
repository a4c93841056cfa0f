package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as PROTOCOL.md spells it. encoding/json writes Val as
// padded base64.
type item struct {
	Key       string `json:"key"`
	Val       []byte `json:"val,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// storeState is what a copy of the store holds.
type storeState struct {
	revision, nextLease int64
	items               map[string]item
	leases              map[int64]lease
	history             []item
}

func (s *storeState) clone() storeState {
	c := *s
	c.items, c.leases = maps.Clone(s.items), maps.Clone(s.leases)
	c.history = append([]item(nil), s.history...)
	return c
}

// metaStore is a stand-in for the platform's metadata store.
type metaStore struct {
	mu    sync.Mutex
	state storeState
	era   int64
	down  bool
	wake  chan struct{}
	// translate, if it is not nil, gives an item that the system writes another value.
	translate func(key string, val []byte) []byte
}

func newStore() *metaStore {
	s := &metaStore{era: 1, wake: make(chan struct{})}
	s.state = storeState{revision: 1, nextLease: 1, items: map[string]item{}, leases: map[int64]lease{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// expire removes the leases that have ended, with their keys. Leases pause while the store
// is away.
func (s *metaStore) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for id, l := range s.state.leases {
		if now.Before(l.end) {
			continue
		}
		s.endLease(id)
	}
}

func (s *metaStore) endLease(id int64) {
	delete(s.state.leases, id)
	for key, it := range s.state.items {
		if it.Lease == id {
			s.change(item{Key: key, Tombstone: true})
		}
	}
}

// change applies one change as a revision of its own.
func (s *metaStore) change(it item) {
	s.state.revision++
	it.Revision = s.state.revision
	s.apply(it)
}

func (s *metaStore) apply(it item) {
	if it.Tombstone {
		delete(s.state.items, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.state.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.state.items[it.Key] = it
	}
	s.state.history = append(s.state.history, it)
	close(s.wake)
	s.wake = make(chan struct{})
}

// put writes a key as the operator or a worker does. The return is the ack.
func (s *metaStore) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Val: data})
	return time.Now()
}

func (s *metaStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.items[key]; ok {
		s.change(item{Key: key, Tombstone: true})
	}
}

// get returns the value of a key, or nil.
func (s *metaStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Val
}

// copyNow returns a copy of the store.
func (s *metaStore) copyNow() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// goAway takes the store away. Calls that wait are cut.
func (s *metaStore) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	close(s.wake)
	s.wake = make(chan struct{})
}

// comeBack brings the store back from a copy, in a new era. The leases of the copy run anew.
func (s *metaStore) comeBack(from storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = from.clone()
	for id, l := range s.state.leases {
		l.end = time.Now().Add(l.ttl)
		s.state.leases[id] = l
	}
	s.era++
	s.down = false
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler) // the channel is reset
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.serveKey(w, q.Get("key"))
	case path == "/-/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(ms)*time.Millisecond)
	case path == "/-/kv-txn" && r.Method == http.MethodPost:
		s.serveTxn(w, r)
	case path == "/-/kv-lease" && r.Method == http.MethodPost:
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.serveKeep(w, path[len("/-/kv-keep/"):])
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[len("/-/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		if _, ok := s.state.leases[id]; ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *metaStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.state.items[key]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *metaStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	entries := []item{}
	for key, it := range s.state.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	asOf := s.state.revision
	s.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	more := len(entries) > 500
	if more {
		entries = entries[:500]
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "more_pages": more, "as_of": asOf})
}

func (s *metaStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		if after > s.state.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events := []item{}
		for _, it := range s.state.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, wake := s.state.revision, s.wake
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *metaStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	var rows []item
	failed := false
	for _, e := range t.ExpectedRev {
		it := s.state.items[e.Key]
		it.Key = e.Key
		rows = append(rows, it)
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": rows})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.state.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.state.revision++
	for _, p := range t.Puts {
		if s.translate != nil {
			p.Val = s.translate(p.Key, p.Val)
		}
		s.apply(item{Key: p.Key, Val: p.Val, Lease: p.Lease, Revision: s.state.revision})
	}
	for _, key := range t.Remove {
		if _, ok := s.state.items[key]; ok {
			s.apply(item{Key: key, Tombstone: true, Revision: s.state.revision})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.state.revision})
}

func (s *metaStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(min(max(l.TTLMs, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	s.state.nextLease++
	id := s.state.nextLease
	s.state.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *metaStore) serveKeep(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	l, ok := s.state.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
		s.state.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
