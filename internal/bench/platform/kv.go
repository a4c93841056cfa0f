package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

type value struct {
	data     []byte
	revision int64
	lease    string
}

type lease struct {
	fence    int64
	ttl      time.Duration
	deadline time.Time
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	v, ok := s.values[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "key does not exist", http.StatusNotFound)
		return
	}
	v.write(w)
}

func (v value) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/octet-stream")
	setRevision(w, v.revision)
	_, _ = w.Write(v.data)
}

func setRevision(w http.ResponseWriter, revision int64) {
	w.Header().Set("Revision", strconv.FormatInt(revision, 10))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	key, id := r.PathValue("key"), r.Header.Get("Lease")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id] == nil && id != "" {
		http.Error(w, "lease has ended", http.StatusGone)
		return
	}
	if have := s.values[key].revision; have != expected {
		setRevision(w, have)
		http.Error(w, "revision conflict", http.StatusConflict)
		return
	}
	s.revision++
	s.values[key] = value{data: data, revision: s.revision, lease: id}
	s.notify()
	setRevision(w, s.revision)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, ok := expectedRevision(w, r)
	if !ok {
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	v, ok := s.values[key]
	if !ok {
		http.Error(w, "key does not exist", http.StatusNotFound)
		return
	}
	if v.revision != expected {
		setRevision(w, v.revision)
		http.Error(w, "revision conflict", http.StatusConflict)
		return
	}
	s.revision++
	delete(s.values, key)
	setRevision(w, s.revision)
	w.WriteHeader(http.StatusOK)
}

func expectedRevision(w http.ResponseWriter, r *http.Request) (int64, bool) {
	n, err := strconv.ParseInt(r.Header.Get("If-Revision"), 10, 64)
	if err != nil || n < 0 {
		http.Error(w, "If-Revision must be a revision or 0", http.StatusBadRequest)
		return 0, false
	}
	return n, true
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	var found value
	outage := false
	answered := s.poll(r, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		found = s.values[key]
		outage = s.active(Outage, "kv/"+key)
		return outage || found.revision > after
	})
	switch {
	case outage || !answered:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case found.revision > after:
		found.write(w)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil || body.TTL <= 0 || body.TTL > time.Hour.Milliseconds() {
		http.Error(w, "ttl-ms must be from 1 to 3600000", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.fence++
	id := "lease-" + strconv.FormatInt(s.fence, 10)
	l := &lease{fence: s.fence, ttl: time.Duration(body.TTL) * time.Millisecond}
	s.leases[id] = l
	s.extend(w, id, l)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		http.Error(w, "lease has ended", http.StatusGone)
		return
	}
	s.extend(w, id, l)
}

func (s *Server) extend(w http.ResponseWriter, id string, l *lease) {
	l.deadline = s.config.Now().Add(l.ttl)
	respond(w, http.StatusOK, struct {
		ID       string    `json:"id"`
		Fence    int64     `json:"fence"`
		Deadline time.Time `json:"deadline"`
	}{id, l.fence, l.deadline})
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// lapse ends a lease, or all, without its holder's knowledge.
func (s *Server) lapse(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		if target == "" || id == target {
			s.endLease(id)
		}
	}
}

// expire ends the leases whose deadline has passed; the caller holds the lock.
func (s *Server) expire() {
	now := s.config.Now()
	for id, l := range s.leases {
		if !now.Before(l.deadline) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys; the caller holds the lock.
func (s *Server) endLease(id string) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for key, v := range s.values {
		if v.lease == id {
			s.revision++
			delete(s.values, key)
		}
	}
}
