// Package kv reads, watches and writes single keys of the platform's store. Writes
// are compare-and-swap operations on a key's revision.
package kv
