package lagged

import "time"

// versionsPerLag limits the number of versions stored for one lag: a value that
// is set less than Lag/versionsPerLag after the latest version replaces the value
// of that version and keeps its time.
const versionsPerLag = 16

// Value holds a value that Get returns as it was Lag ago. The first value is
// visible at once. A Value is not safe for concurrent use.
type Value[T any] struct {
	// Lag is the age at which a value becomes visible.
	Lag      time.Duration
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set sets the value at the time now.
func (l *Value[T]) Set(now time.Time, value T) {
	l.prune(now)
	if n := len(l.versions); n > 1 && now.Sub(l.versions[n-1].at) < l.Lag/versionsPerLag {
		l.versions[n-1].value = value
		return
	}
	l.versions = append(l.versions, version[T]{now, value})
}

// Get returns the value that is visible at the time now, or the zero value if
// none was set.
func (l *Value[T]) Get(now time.Time) (value T) {
	l.prune(now)
	if len(l.versions) > 0 {
		value = l.versions[0].value
	}
	return value
}

// Latest returns the value that was set last, whether or not it is visible, or
// the zero value if none was set.
func (l *Value[T]) Latest() (value T) {
	if n := len(l.versions); n > 0 {
		value = l.versions[n-1].value
	}
	return value
}

// prune removes the versions that precede the latest visible one.
func (l *Value[T]) prune(now time.Time) {
	visible := now.Add(-l.Lag)
	n := 0
	for n+1 < len(l.versions) && !l.versions[n+1].at.After(visible) {
		n++
	}
	l.versions = l.versions[n:]
}
