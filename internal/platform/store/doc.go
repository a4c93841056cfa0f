// Package store defines the key-value service as the product uses it: ordered
// changes, conditional commits and leases.
package store
