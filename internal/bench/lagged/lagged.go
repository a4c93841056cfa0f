package lagged

import "time"

// steps bounds the versions kept during one lag: a value that follows the last
// one within this part of the lag replaces it and takes over its time.
const steps = 16

// Value is a value that is read as it was a lag ago. It is not safe for
// concurrent use. Until the first value is old enough, it is read anyway.
type Value[T any] struct {
	// Lag is the age at which a value becomes visible.
	Lag      time.Duration
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// Set stores a value at the time now.
func (l *Value[T]) Set(now time.Time, value T) {
	l.prune(now)
	if n := len(l.versions); n > 1 && now.Sub(l.versions[n-1].at) < l.Lag/steps {
		l.versions[n-1].value = value
		return
	}
	l.versions = append(l.versions, version[T]{now, value})
}

// Get returns the value that is visible at the time now.
func (l *Value[T]) Get(now time.Time) (value T) {
	l.prune(now)
	if len(l.versions) > 0 {
		value = l.versions[0].value
	}
	return value
}

// Latest returns the last value set.
func (l *Value[T]) Latest() (value T) {
	if n := len(l.versions); n > 0 {
		value = l.versions[n-1].value
	}
	return value
}

// prune drops the versions that a visible one has replaced.
func (l *Value[T]) prune(now time.Time) {
	visible := now.Add(-l.Lag)
	n := 0
	for n+1 < len(l.versions) && !l.versions[n+1].at.After(visible) {
		n++
	}
	l.versions = l.versions[n:]
}
