package delayed

import "time"

// versionsPerLag limits the number of versions stored for one lag. A value that is
// set less than Lag/versionsPerLag after the latest version replaces the value of
// that version and keeps its time. A version that is the only one stored is never
// replaced.
const versionsPerLag = 16

// Value stores a value. Get returns the value that was current Lag ago, or the
// first value if none is that old. A Value is not safe for concurrent use.
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
func (v *Value[T]) Set(now time.Time, value T) {
	v.prune(now)
	if n := len(v.versions); n > 1 && now.Sub(v.versions[n-1].at) < v.Lag/versionsPerLag {
		v.versions[n-1].value = value
		return
	}
	v.versions = append(v.versions, version[T]{now, value})
}

// Get returns the value that is visible at the time now, or the zero value if
// none was set.
func (v *Value[T]) Get(now time.Time) (value T) {
	v.prune(now)
	if len(v.versions) > 0 {
		value = v.versions[0].value
	}
	return value
}

// Latest returns the value that was set last, whether or not it is visible, or
// the zero value if none was set.
func (v *Value[T]) Latest() (value T) {
	if n := len(v.versions); n > 0 {
		value = v.versions[n-1].value
	}
	return value
}

// prune removes the versions that precede the latest visible one.
func (v *Value[T]) prune(now time.Time) {
	visible := now.Add(-v.Lag)
	n := 0
	for n+1 < len(v.versions) && !v.versions[n+1].at.After(visible) {
		n++
	}
	v.versions = v.versions[n:]
}
