package matrix

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
)

const (
	// samplePeriod is the time between two samples and so the resolution of all
	// measured times.
	samplePeriod  = 100 * time.Millisecond
	sampleTimeout = time.Second
)

// sample is the status of an entry instance at one point in time.
type sample struct {
	at     time.Time
	status admin.Status
}

// move returns the instance's view of the move to the new version.
func (s sample) move() (admin.Move, bool) {
	i := slices.IndexFunc(s.status.Moves, func(m admin.Move) bool { return m.Entry == languageEntry && m.To == newVersion })
	if i < 0 {
		return admin.Move{}, false
	}
	return s.status.Moves[i], true
}

// absence is an interval in which an entry instance is unreachable. to is zero if
// the instance does not return.
type absence struct{ from, to time.Time }

// statusSampler records samples of the status of entry instances.
type statusSampler struct {
	wg sync.WaitGroup

	mu           sync.Mutex
	samples      map[string][]sample
	absences     map[string][]absence
	sampledSince map[string]time.Time
}

func newStatusSampler() *statusSampler {
	return &statusSampler{
		samples:      make(map[string][]sample),
		absences:     make(map[string][]absence),
		sampledSince: make(map[string]time.Time),
	}
}

// addInstance starts to sample an entry instance, until ctx is done or the
// process has ended.
func (sp *statusSampler) addInstance(ctx context.Context, e demo.EntryInstance) {
	sp.mu.Lock()
	if _, known := sp.sampledSince[e.ID]; !known {
		sp.sampledSince[e.ID] = time.Now()
	}
	sp.mu.Unlock()
	sp.wg.Go(func() {
		tick := time.NewTicker(samplePeriod)
		defer tick.Stop()
		for {
			sp.sample(ctx, e)
			select {
			case <-ctx.Done():
				return
			case <-e.Process.Ended():
				return
			case <-tick.C:
			}
		}
	})
}

func (sp *statusSampler) sample(ctx context.Context, e demo.EntryInstance) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	var s admin.Status
	if e.Status(ctx, &s) != nil {
		return
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.samples[e.ID] = append(sp.samples[e.ID], sample{time.Now(), s})
}

// addAbsence records an absence. A zero to means that the instance does not
// return.
func (sp *statusSampler) addAbsence(id string, from, to time.Time) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.absences[id] = append(sp.absences[id], absence{from, to})
}

// reachableFrom returns the time from which bound is measured for an instance. It
// is t, or the time at which the instance was added if that is later. Each absence
// that starts at most bound after the current result and does not end before it
// moves the result to the end of the absence; ok is false if the absence has no
// end.
func (sp *statusSampler) reachableFrom(id string, t time.Time, bound time.Duration) (from time.Time, ok bool) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	from = t
	if since := sp.sampledSince[id]; since.After(from) {
		from = since
	}
	for _, a := range sp.absences[id] {
		if a.from.After(from.Add(bound)) || (!a.to.IsZero() && a.to.Before(from)) {
			continue
		}
		if a.to.IsZero() {
			return time.Time{}, false
		}
		from = a.to
	}
	return from, true
}

// instanceIDs returns the sorted IDs of all sampled instances.
func (sp *statusSampler) instanceIDs() []string {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	var ids []string
	for id := range sp.sampledSince {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// samplesOf returns the samples of an instance.
func (sp *statusSampler) samplesOf(id string) []sample {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return slices.Clone(sp.samples[id])
}

// firstMatch returns the time of the first sample of an instance that was taken at
// or after from and for which match is true.
func (sp *statusSampler) firstMatch(id string, from time.Time, match func(sample) bool) (time.Time, bool) {
	for _, s := range sp.samplesOf(id) {
		if !s.at.Before(from) && match(s) {
			return s.at, true
		}
	}
	return time.Time{}, false
}
