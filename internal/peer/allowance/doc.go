// Package allowance enforces workspace allowances that are shared by all
// instances.
//
// In each failure domain, the instance that rendezvous hashing selects as the
// owner of a workspace decides on the workspace's uses; the other instances ask
// the owner. The owners learn the spending of the other failure domains from the
// exchanged counters. An instance that cannot reach an owner limits itself to an
// equal share of the allowance.
package allowance
