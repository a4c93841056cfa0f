// Package fleet is a read-copy-update view of the backend servers.
//
// It merges the instance list, load reports, reclaim notices, rejections that
// this node saw and the leaving marks of its peers. Readers take an immutable
// slice from an atomic pointer.
package fleet
