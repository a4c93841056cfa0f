// Package evidence counts the outcomes of requests per node and merges the
// counters of all nodes. A node is one incarnation of an instance.
//
// The counters are grow-only and merged by maximum (a state-based CRDT), so
// copies may arrive late, repeatedly or out of order. A node keeps one row per
// key for each node of its own failure domain, and one per key for each other
// failure domain. The latter is the sum over those nodes of the failure domain
// that its sender knows: a lower bound of the true sum that only grows, so it is
// merged by maximum as well.
package evidence
