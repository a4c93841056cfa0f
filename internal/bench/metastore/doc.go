// Package metastore is a stand-in for the users' platform: its key-value store
// and its cloud API, with faults that tests switch on.
package metastore
