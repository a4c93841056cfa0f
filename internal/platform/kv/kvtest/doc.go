// Package kvtest provides an in-memory kv.Store with fault injection for tests.
package kvtest
