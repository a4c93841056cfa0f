package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

var errNoInstance = errors.New("target must be an instance or a failure domain with instances")

// listing is a published instance list.
type listing struct {
	Revision  int64                `json:"revision"`
	Instances []instances.Instance `json:"instances"`
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.removeReclaimed()
	l := s.listing.Get(s.config.Now())
	s.mu.Unlock()
	if l.Instances == nil {
		l.Instances = []instances.Instance{}
	}
	tag := strconv.Quote(strconv.FormatInt(l.Revision, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	respond(w, http.StatusOK, l)
}

func (s *Server) registerInstance(w http.ResponseWriter, r *http.Request) {
	var i instances.Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, "invalid instance: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := validate(i, r.PathValue("id")); err != nil {
		http.Error(w, "invalid instance: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.reclaimDeadlines[i.ID]; ok {
		i.State = instances.StateLeaving
	}
	// A repeated registration without a change publishes no new list.
	if have, ok := s.registered[i.ID]; !ok || have != i {
		s.registered[i.ID] = i
		s.publish()
	}
	w.WriteHeader(http.StatusOK)
}

func validate(i instances.Instance, id string) error {
	switch {
	case i.ID != id || id == "":
		return fmt.Errorf("id %q is not the one in the path", i.ID)
	case i.Role != instances.RoleEntry && i.Role != instances.RoleBackend:
		return fmt.Errorf("role %q is not entry or backend", i.Role)
	case i.State != instances.StateLive && i.State != instances.StateLeaving:
		return fmt.Errorf("state %q is not live or leaving", i.State)
	case i.FailureDomain == "":
		return errors.New("failure-domain is empty")
	}
	return nil
}

func (s *Server) deregisterInstance(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.registered[r.PathValue("id")]; ok {
		delete(s.registered, r.PathValue("id"))
		s.publish()
	}
	w.WriteHeader(http.StatusNoContent)
}

// publish publishes a new list, which becomes visible after Config.ListLag; the
// caller holds s.mu.
func (s *Server) publish() {
	s.listing.Set(s.config.Now(), listing{
		Revision: s.listing.Latest().Revision + 1,
		Instances: slices.SortedFunc(maps.Values(s.registered), func(a, b instances.Instance) int {
			return cmp.Compare(a.ID, b.ID)
		}),
	})
}

// reclaim announces that instances are reclaimed at the deadline; a zero
// deadline is noticePeriod from now. The target is an instance ID or a failure
// domain; in a failure domain, only reclaimable instances are reclaimed.
func (s *Server) reclaim(target string, deadline time.Time) error {
	if deadline.IsZero() {
		deadline = s.config.Now().Add(noticePeriod)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := false
	for _, id := range slices.Sorted(maps.Keys(s.registered)) {
		i := s.registered[id]
		if target == "" || (id != target && (i.FailureDomain != target || !i.Reclaimable)) {
			continue
		}
		found = true
		i.State = instances.StateLeaving
		s.registered[id] = i
		s.reclaimDeadlines[id] = deadline
		s.notices = append(s.notices, cloud.Notice{Sequence: int64(len(s.notices)) + 1, Instance: id, Deadline: deadline})
	}
	if !found {
		return fmt.Errorf("%w: %w", fault.ErrInvalid, errNoInstance)
	}
	s.publish()
	s.notify()
	return nil
}

// removeReclaimed removes the instances whose reclaim deadline has passed; the
// caller holds s.mu.
func (s *Server) removeReclaimed() {
	now := s.config.Now()
	removed := false
	for id, deadline := range s.reclaimDeadlines {
		if !now.Before(deadline) {
			delete(s.reclaimDeadlines, id)
			delete(s.registered, id)
			removed = true
		}
	}
	if removed {
		s.publish()
	}
}

func (s *Server) pollNotices(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	found := []cloud.Notice{}
	outage := false
	answered := s.poll(r, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if outage = s.faultActive(Outage, "notices/"); outage {
			return true
		}
		if after < int64(len(s.notices)) {
			found = slices.Clone(s.notices[after:])
		}
		return len(found) > 0
	})
	if outage || !answered {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	respond(w, http.StatusOK, struct {
		Next    int64          `json:"next"`
		Notices []cloud.Notice `json:"notices"`
	}{after + int64(len(found)), found})
}

func (s *Server) launchInstance(w http.ResponseWriter, r *http.Request) {
	var l cloud.LaunchRequest
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, "invalid launch: "+err.Error(), http.StatusBadRequest)
		return
	}
	if _, refused := s.faults.Find(RefuseInstances, func(f fault.Fault) bool {
		return f.Target == "" || f.Target == l.Class || f.Target == l.FailureDomain
	}); refused {
		http.Error(w, "refused", http.StatusConflict)
		return
	}
	s.mu.Lock()
	s.launchCount++
	id := "launched-" + strconv.Itoa(s.launchCount)
	s.mu.Unlock()
	if s.config.Launch != nil {
		s.config.Launch(id, l)
	}
	respond(w, http.StatusCreated, struct {
		ID string `json:"id"`
	}{id})
}

// serveWeights streams a version's weights at the limited rate.
func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, 16<<10)
	if burst := s.weightLimiter.Burst(); burst > 0 {
		chunk = chunk[:min(len(chunk), burst)]
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.config.WeightBytes))
	for left := s.config.WeightBytes; left > 0; {
		n := min(left, len(chunk))
		if err := s.weightLimiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
