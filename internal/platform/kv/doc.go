// Package kv reads, writes by compare-and-swap and watches single keys of the
// platform's store.
package kv
