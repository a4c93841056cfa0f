// Package allowance admits what workspaces use of allowances that hold for all
// instances together.
//
// In each failure domain one instance, the owner by rendezvous hashing, decides
// on a workspace's uses; the others ask it. The owners learn from each other,
// by the exchange of counters, what the other failure domains spent. An
// instance that reaches no owner keeps to an even part of the allowance.
package allowance
