// Package store defines the interface of the key-value store that wasabiworks
// uses: ordered changes, conditional commits and leases.
package store
