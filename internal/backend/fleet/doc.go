// Package fleet maintains a read-copy-update view of the backend servers.
//
// It merges the instance list, load reports, reclaim notices, rejections that
// this instance received and the leaving marks of its peers. Readers load an
// immutable slice from an atomic pointer.
package fleet
