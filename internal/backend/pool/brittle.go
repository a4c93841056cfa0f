package pool

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unclaimedShare is the part of the rejections that a brittle server bears that may come
	// from requests for which no place is known to be free.
	unclaimedShare = 0.25
	// claimPause is how long no place is claimed at a server after its tracker had none.
	claimPause = 50 * time.Millisecond
)

// brittleServices holds the services whose servers fall over when they have to reject too many
// requests. The zero value is empty.
type brittleServices struct {
	mu sync.Mutex // held during updates
	// byName is replaced by updates, and nil while there are none.
	byName atomic.Pointer[map[string]brittleService]
}

// brittleService is what the last response of a service's servers said.
type brittleService struct {
	rejections float64   // that a server bears in a second
	sentAt     time.Time // when the request was sent
}

// get returns what is known of a service, and false if its servers are not brittle.
func (b *brittleServices) get(service string) (brittleService, bool) {
	known := b.byName.Load()
	if known == nil {
		return brittleService{}, false
	}
	s, ok := (*known)[service]
	return s, ok
}

// observe records that a response to a request that was sent at sentAt names a number of
// rejections a second, or none if it is 0. It reports whether the service has become brittle or
// is so no longer.
func (b *brittleServices) observe(service string, rejections float64, sentAt time.Time) (changed bool) {
	if _, known := b.get(service); !known && rejections == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.get(service)
	if known && sentAt.Before(before.sentAt) {
		return false
	}
	services := make(map[string]brittleService)
	if all := b.byName.Load(); all != nil {
		maps.Copy(services, *all)
	}
	delete(services, service)
	if rejections > 0 {
		services[service] = brittleService{rejections, sentAt}
	}
	if len(services) == 0 {
		b.byName.Store(nil)
	} else {
		b.byName.Store(&services)
	}
	return known != (rejections > 0)
}

// RecordBrittle records that a response to a request that was sent at sentAt says how many
// rejections a second the servers of the service bear; 0 means that it does not say so. It
// reports whether the service has become brittle or is so no longer.
func (w *Worker) RecordBrittle(rejections float64, sentAt time.Time) (changed bool) {
	return w.shared.brittle.observe(w.Service, rejections, sentAt)
}

// Brittle reports whether the servers of the service fall over when they have to reject too
// many requests.
func (w *Worker) Brittle() bool {
	_, brittle := w.shared.brittle.get(w.Service)
	return brittle
}

// HasBrittle reports whether the servers of any service are brittle.
func (p *Pool) HasBrittle() bool { return p.shared.brittle.byName.Load() != nil }

// NoPlace records that the tracker of the server had no free place at now.
func (w *Worker) NoPlace(now time.Time) { w.noPlaceUntil.Store(now.Add(claimPause).UnixNano()) }

// MayHavePlace reports whether a place at the server may be claimed at now.
func (w *Worker) MayHavePlace(now time.Time) bool { return now.UnixNano() >= w.noPlaceUntil.Load() }

// AcquireUnclaimed reports whether a request may be sent to a brittle server at now although no
// place is known to be free. All instances together send fewer of them than it bears rejections.
func (w *Worker) AcquireUnclaimed(now time.Time) bool {
	s, brittle := w.shared.brittle.get(w.Service)
	if !brittle {
		return true
	}
	allowed, pace := w.part(w.shared.senders.Load(), s.rejections*unclaimedShare)
	used := w.unclaimedUsed.Load()
	if !allowed || now.Before(pace.Next(time.Unix(0, used))) {
		return false
	}
	return w.unclaimedUsed.CompareAndSwap(used, pace.Use(time.Unix(0, used), now).UnixNano())
}
