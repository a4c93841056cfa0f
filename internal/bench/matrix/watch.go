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

// watch records samples of the status of entry instances.
type watch struct {
	wg sync.WaitGroup

	mu           sync.Mutex
	samples      map[string][]sample
	absences     map[string][]absence
	watchedSince map[string]time.Time
}

func newWatch() *watch {
	return &watch{
		samples:      make(map[string][]sample),
		absences:     make(map[string][]absence),
		watchedSince: make(map[string]time.Time),
	}
}

// addInstance starts to sample an entry instance, until ctx is done or the
// process has ended.
func (w *watch) addInstance(ctx context.Context, e demo.EntryInstance) {
	w.mu.Lock()
	if _, known := w.watchedSince[e.ID]; !known {
		w.watchedSince[e.ID] = time.Now()
	}
	w.mu.Unlock()
	w.wg.Go(func() {
		tick := time.NewTicker(samplePeriod)
		defer tick.Stop()
		for {
			w.sample(ctx, e)
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

func (w *watch) sample(ctx context.Context, e demo.EntryInstance) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	var s admin.Status
	if e.Status(ctx, &s) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples[e.ID] = append(w.samples[e.ID], sample{time.Now(), s})
}

// addAbsence records an absence. A zero to means that the instance does not
// return.
func (w *watch) addAbsence(id string, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.absences[id] = append(w.absences[id], absence{from, to})
}

// reachableFrom returns the earliest time at or after t from which an instance is
// reachable for at least bound: t itself, the time at which the instance was
// added, or the end of the last absence that starts within bound of the result.
// ok is false if such an absence has no end.
func (w *watch) reachableFrom(id string, t time.Time, bound time.Duration) (from time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = t
	if j := w.watchedSince[id]; j.After(from) {
		from = j
	}
	for _, a := range w.absences[id] {
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
func (w *watch) instanceIDs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.watchedSince {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// samplesOf returns the samples of an instance.
func (w *watch) samplesOf(id string) []sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.samples[id])
}

// firstMatch returns the time of the first sample of an instance that is not
// before after and for which match is true.
func (w *watch) firstMatch(id string, after time.Time, match func(sample) bool) (time.Time, bool) {
	for _, s := range w.samplesOf(id) {
		if !s.at.Before(after) && match(s) {
			return s.at, true
		}
	}
	return time.Time{}, false
}
