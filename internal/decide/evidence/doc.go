// Package evidence counts request outcomes per node and merges the counters of
// all nodes.
package evidence
