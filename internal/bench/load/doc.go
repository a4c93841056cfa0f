// Package load is a load generator: it sends the requests of a workload mix,
// checks every response against the expected one and measures latencies.
package load
