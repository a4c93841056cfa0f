// Package membership implements gossip-style membership of the entry instances.
// From its table of members an instance derives the peers to exchange with, the
// owner of a key, the holder of the store's watch, and whether the instance itself
// is isolated.
package membership
