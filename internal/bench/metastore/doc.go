// Package metastore implements fakes of the users' platform for tests: its
// key-value store, with injectable faults, and its cloud API.
package metastore
