package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md describes it.
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

// kvStore is a stand-in of the platform's metadata store. It has no faults.
type kvStore struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{}
}

func newStore() *kvStore {
	return &kvStore{revision: 1, items: make(map[string]item), leases: make(map[int64]lease), nextLease: 100, changed: make(chan struct{})}
}

// write writes a key as the operator or a worker does.
func (s *kvStore) write(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *kvStore) erase(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// value returns the value of a key, or "".
func (s *kvStore) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return string(s.items[key].Val)
}

func (s *kvStore) put(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Val: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if have, ok := s.items[key]; ok {
		i.Created = have.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *kvStore) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.end) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	status, reply := s.dispatch(r, path, id)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (s *kvStore) dispatch(r *http.Request, path, id string) (int, any) {
	q := r.URL.Query()
	switch path {
	case "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, i
	case "kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case "kv-watch":
		return s.watch(r)
	case "kv-txn":
		return s.commit(r)
	case "kv-lease":
		return s.grant(r)
	case "kv-keep", "kv-lease-end":
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		return s.renewOrEnd(n, path == "kv-lease-end")
	}
	return http.StatusNotFound, nil
}

func (s *kvStore) list(prefix, after string) (int, any) {
	const pageSize = 500
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
	entries := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		entries = append(entries, s.items[key])
	}
	return http.StatusOK, map[string]any{"entries": entries, "more_pages": len(entries) < len(keys), "as_of": s.revision}
}

func (s *kvStore) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
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
		case <-time.After(100 * time.Millisecond): // a lease may have run out
		case <-end.C:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *kvStore) commit(r *http.Request) (int, any) {
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
			return http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[e.Key]}}
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

func (s *kvStore) grant(r *http.Request) (int, any) {
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
	s.leases[s.nextLease] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.nextLease, "ttl_ms": body.TTLMs}
}

func (s *kvStore) renewOrEnd(id int64, end bool) (int, any) {
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
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
}
