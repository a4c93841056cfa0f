// Package evidence counts request outcomes per node and merges the counters of
// all nodes.
//
// Every counter only grows, and a merge takes the larger value of each, so
// copies may arrive late, twice or out of order. A node keeps one row per node
// of its own failure domain and one row per other failure domain: the sum over
// the nodes of a failure domain that a member knows is a lower bound of the
// true sum and only grows, so it is merged by maximum as well.
package evidence
