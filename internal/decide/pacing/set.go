package pacing

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// limitTTL is how long a limit is kept after the last response that named it. The
	// senders of a server get responses much more often; without any, one request finds
	// out whether the limit still holds.
	limitTTL = 30 * time.Second
	// refreshPeriod is the age of a record from which on a response that names the same
	// limit renews it.
	refreshPeriod = 5 * time.Second
	// sameRate is the relative difference up to which two rates count as the same limit, so
	// that a server whose limit varies a little does not cause an exchange with each answer.
	sameRate = 0.1
	// maxLimits bounds the records, in case peers report processes that do not exist.
	maxLimits = 4096
)

// Limit is what a response of a server process said about its limit.
type Limit struct {
	Process string
	// Rate is in requests per second; 0 means that the response named no limit.
	Rate float64
	// ObservedAt is when the response arrived, on the wall clock.
	ObservedAt time.Time
}

// Limits holds the limits of server processes. Of several reports on a process the latest
// one counts. The methods are safe for concurrent use.
type Limits struct {
	mu      sync.Mutex
	version uint64
	records map[string]record
	rates   atomic.Pointer[map[string]float64]
}

type record struct {
	Limit
	changed uint64 // version of the last change
}

// Rate returns the limit of a server process, in requests per second, and whether it has one.
func (l *Limits) Rate(process string) (rate float64, ok bool) {
	rates := l.rates.Load()
	if rates == nil {
		return 0, false
	}
	rate, ok = (*rates)[process]
	return rate, ok
}

// Len returns the number of processes that have a limit.
func (l *Limits) Len() int {
	rates := l.rates.Load()
	if rates == nil {
		return 0
	}
	return len(*rates)
}

// Observe records what a response said that arrived at now, to a request that was sent at
// sentAt. It reports whether the limit has changed. A response without a limit ends a limit
// only if its request was sent after the limit was last named.
func (l *Limits) Observe(process string, rate float64, sentAt, now time.Time) (changed bool) {
	known, limited := l.Rate(process)
	if !limited && rate == 0 {
		return false // the usual case takes no lock
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[process]
	switch {
	case rate == 0 && !sentAt.After(r.ObservedAt):
		return false
	case isSameRate(rate, known) && now.Sub(r.ObservedAt) < refreshPeriod:
		return false
	}
	l.put(Limit{process, rate, now})
	return !isSameRate(rate, known)
}

// isSameRate reports whether two rates count as the same limit. A rate of 0 is no limit.
func isSameRate(a, b float64) bool {
	return a == b || a > 0 && b > 0 && math.Abs(a-b) <= sameRate*b
}

// Merge merges the reports of a peer, and reports whether a limit has changed.
func (l *Limits) Merge(reports []Limit, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		known, ok := l.records[r.Process]
		if r.ObservedAt.After(now) {
			r.ObservedAt = now // the peer's clock is ahead
		}
		if !r.ObservedAt.After(known.ObservedAt) || now.Sub(r.ObservedAt) >= limitTTL || !ok && len(l.records) >= maxLimits {
			continue
		}
		l.put(r)
		changed = changed || !isSameRate(r.Rate, known.Rate)
	}
	return changed
}

// put stores a report. The caller holds l.mu.
func (l *Limits) put(r Limit) {
	if l.records == nil {
		l.records = make(map[string]record)
	}
	l.version++
	l.records[r.Process] = record{r, l.version}
	l.publish()
}

// publish publishes the limits to readers. The caller holds l.mu.
func (l *Limits) publish() {
	rates := make(map[string]float64, len(l.records))
	for process, r := range l.records {
		if r.Rate > 0 {
			rates[process] = r.Rate
		}
	}
	l.rates.Store(&rates)
}

// Since returns at most limit reports that changed after a version, the oldest change first,
// and the version to pass to the next call.
func (l *Limits) Since(version uint64, limit int) (reports []Limit, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == l.version {
		return nil, version
	}
	var changed []record
	for _, r := range l.records {
		if r.changed > version {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b record) int { return cmp.Compare(a.changed, b.changed) })
	next = l.version
	if len(changed) > limit {
		changed = changed[:limit]
		next = changed[limit-1].changed
	}
	for _, r := range changed {
		reports = append(reports, r.Limit)
	}
	return reports, next
}

// Expire removes the limits that no response has named for some time.
func (l *Limits) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.records)
	for process, r := range l.records {
		if now.Sub(r.ObservedAt) >= limitTTL {
			delete(l.records, process)
		}
	}
	if len(l.records) != before {
		l.publish()
	}
}
