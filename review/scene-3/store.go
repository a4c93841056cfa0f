package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store in its wire form.
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

// state is what a copy of the store holds.
type state struct {
	revision, nextLease, compacted int64
	items                          map[string]item
	history                        []item
	leases                         map[int64]lease
}

func (s *state) clone() state {
	c := *s
	c.items, c.leases, c.history = maps.Clone(s.items), maps.Clone(s.leases), slices.Clone(s.history)
	return c
}

// store is the platform's metadata store.
type store struct {
	mu sync.Mutex
	state
	era     int64
	changed chan struct{}
	down    bool
}

func newStore() *store {
	return &store{
		state: state{revision: 100, nextLease: 7000, items: make(map[string]item), leases: make(map[int64]lease)},
		era:   1, changed: make(chan struct{}),
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item as the operator or a worker does, and returns its revision.
func (s *store) put(key string, val []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, val, 0)
	s.notify()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// set and drop change an item at the current revision. The caller holds the lock.
func (s *store) set(key string, val []byte, l int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Val: val, Revision: s.revision, Created: created, Lease: l}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

// expire ends leases until stop is closed. While the store is down, leases pause.
func (s *store) expire(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.down {
				l.end = l.end.Add(10 * time.Millisecond)
				s.leases[id] = l
			} else if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

// copyNow returns a copy of the state.
func (s *store) copyNow() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(c state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c.clone()
	now := time.Now()
	for id, l := range s.leases {
		l.end = now.Add(l.ttl)
		s.leases[id] = l
	}
	s.era++
	s.notify()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// front is the address at which one instance reaches the store. Its mode is that of the
// store for this instance.
type front struct {
	store   *store
	address string
	server  *http.Server
	mu      sync.Mutex
	mode    string // "", silent, reset, busy, many, lose, late
	// addresses, if set, maps the addresses of workers to those at which the instance
	// reaches them.
	addresses map[string]string
}

func newFront(s *store) *front {
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	f := &front{store: s, address: l.Addr().String()}
	f.server = &http.Server{Handler: f}
	go f.server.Serve(l)
	return f
}

func (f *front) setMode(m string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	mode := f.mode
	f.mu.Unlock()
	if f.store.isDown() {
		mode = "busy"
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Store-Era", strconv.FormatInt(f.store.eraNow(), 10))
	switch mode {
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "many":
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case "lose", "late": // some writes are done, at once or later, and not answered
		if r.Method == http.MethodGet || rand.IntN(100) >= 35 {
			break
		}
		var delay time.Duration
		if mode == "late" {
			delay = time.Duration(1000+rand.IntN(5000)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { f.store.serve(httptest.NewRecorder(), r, body) })
		panic(http.ErrAbortHandler)
	}
	if f.addresses == nil {
		f.store.serve(w, r, body)
		return
	}
	answer := httptest.NewRecorder()
	answer.Header().Set("Store-Era", w.Header().Get("Store-Era"))
	f.store.serve(answer, r, body)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(f.translate(answer.Body.Bytes()))
}

// translate replaces the addresses of workers in the values of items.
func (f *front) translate(body []byte) []byte {
	for from, to := range f.addresses {
		body = replaceInValues(body, from, to)
	}
	return body
}

// replaceInValues replaces text in the values of the items of a reply.
func replaceInValues(body []byte, from, to string) []byte {
	var v any
	if json.Unmarshal(body, &v) != nil {
		return body
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&v) != nil {
		return body
	}
	walk(v, from, to)
	data, err := json.Marshal(v)
	check(err)
	return data
}

func walk(v any, from, to string) {
	switch x := v.(type) {
	case map[string]any:
		if text, ok := x["val"].(string); ok {
			if val, err := base64.StdEncoding.DecodeString(text); err == nil {
				x["val"] = base64.StdEncoding.EncodeToString(bytes.ReplaceAll(val, []byte(from), []byte(to)))
			}
		}
		for _, y := range x {
			walk(y, from, to)
		}
	case []any:
		for _, y := range x {
			walk(y, from, to)
		}
	}
}

func (s *store) eraNow() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, struct {
			item
			AsOf int64 `json:"as_of"`
		}{i, asOf})
	case path == "/-/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		s.serveWatch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, body)
	case path == "/-/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		_ = json.Unmarshal(body, &in)
		s.mu.Lock()
		s.nextLease++
		id := s.nextLease
		ttl := time.Duration(max(in.TTLMs, 1000)) * time.Millisecond
		s.leases[id] = lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.end = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var entries []item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, s.items[key])
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	more := len(entries) > 400
	if more {
		entries = entries[:400]
	}
	reply(w, 200, struct {
		Entries   []item `json:"entries"`
		MorePages bool   `json:"more_pages"`
		AsOf      int64  `json:"as_of"`
	}{entries, more, asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for first := true; ; first = false {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision || after < s.compacted {
			s.mu.Unlock()
			w.Header().Set("Store-Era", strconv.FormatInt(s.eraNow(), 10))
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		expired := waitMs == 0 && !first
		if len(events) == 0 && !expired {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		reply(w, 200, struct {
			Events []item `json:"events"`
			AsOf   int64  `json:"as_of"`
		}{events, asOf})
		return
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
	var in struct {
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
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{}})
			return
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.set(p.Key, p.Val, p.Lease)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	s.notify()
	reply(w, 200, map[string]int64{"revision": s.revision})
}
