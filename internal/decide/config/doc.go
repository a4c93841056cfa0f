// Package config decides how the catalogue spreads: which revision to accept,
// when to hold the store's watch, when to pull from a peer and when to read
// the store directly.
package config
