// Package propagation implements the decisions by which an instance keeps its copy
// of the catalogue up to date: which revision to accept, after which revision to
// watch the store, when to pull from a peer and when to read the store directly.
package propagation
