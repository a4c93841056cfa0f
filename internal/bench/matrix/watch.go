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
	// samplePeriod is the resolution of the times that the watch measures.
	samplePeriod  = 100 * time.Millisecond
	sampleTimeout = time.Second
)

// sample is the status of an entry instance at a time.
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

// absence is a time in which an entry instance cannot be reached. Its end is
// zero if it does not return.
type absence struct{ from, to time.Time }

// watch samples the status of entry instances.
type watch struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	samples  map[string][]sample
	absences map[string][]absence
	joined   map[string]time.Time
}

func newWatch() *watch {
	return &watch{
		samples:  make(map[string][]sample),
		absences: make(map[string][]absence),
		joined:   make(map[string]time.Time),
	}
}

// add samples an entry instance until ctx ends or its process does.
func (w *watch) add(ctx context.Context, e demo.EntryInstance) {
	w.mu.Lock()
	if _, known := w.joined[e.ID]; !known {
		w.joined[e.ID] = time.Now()
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

// away records an absence; a zero end is one without return.
func (w *watch) away(id string, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.absences[id] = append(w.absences[id], absence{from, to})
}

// reachable returns the time from which an instance is reachable at the
// earliest, if it is at t or later: t itself, or the end of absences that
// follow on t or overlap with the time until t+bound.
func (w *watch) reachable(id string, t time.Time, bound time.Duration) (from time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from = t
	if j := w.joined[id]; j.After(from) {
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

// ids returns the instances that were watched.
func (w *watch) ids() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id := range w.joined {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// of returns the samples of an instance.
func (w *watch) of(id string) []sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.samples[id])
}

// first returns the time of the first sample of an instance that match
// accepts, at or after a time.
func (w *watch) first(id string, after time.Time, match func(sample) bool) (time.Time, bool) {
	for _, s := range w.of(id) {
		if !s.at.Before(after) && match(s) {
			return s.at, true
		}
	}
	return time.Time{}, false
}
