// Package wait waits for a time or until a context ends.
package wait
