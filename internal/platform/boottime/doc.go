// Package boottime reads the boot clock, which keeps running while the machine is
// suspended. Go's monotonic clock stops then, and the wall clock may jump.
package boottime
