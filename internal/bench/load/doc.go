// Package load generates the workloads of both users, checks every response
// and measures latencies.
package load
