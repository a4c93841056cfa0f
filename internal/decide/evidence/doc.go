// Package evidence counts the outcomes of requests per node and merges the
// counters of all nodes. A node is one incarnation of an instance. The counts are
// the evidence on which a move is continued or rolled back. A move shifts the
// traffic of a catalogue entry from one version to another; see package move.
//
// Package peer/allowance uses a Table to count the units that workspaces spend: it
// stores a time window as Key.Move, a workspace as Key.Version and the units as
// Count.Answered.
//
// The counters are grow-only and merged by maximum (a state-based CRDT), so
// copies may arrive late, repeatedly or out of order. A table has one row per key
// for each node of its own failure domain, and one row per key for each other
// failure domain. A row for another failure domain holds the sum over the nodes
// that the sending node knows there. This sum is a lower bound of the true sum and
// only grows, so it is merged by maximum as well.
package evidence
