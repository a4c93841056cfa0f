// Package kvtest provides an in-memory kv.Store with fault switches for tests.
package kvtest
