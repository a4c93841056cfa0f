// Package follow replicates the keys below a prefix of the store by listing and
// watching them, either at the store or through a peer, and tracks the time as of
// which the copy is known to be complete.
package follow
