// Package load is a load generator: it sends the requests of a workload mix,
// checks every response against the expected one and measures latencies.
//
// A run is one call of Run. The runs of a fake, as in a run log, are its
// executions of requests.
package load
