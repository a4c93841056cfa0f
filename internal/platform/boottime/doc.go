// Package boottime reads the clock that goes on while the machine is
// suspended. Go's monotonic clock stops then, and the wall clock may jump.
package boottime
