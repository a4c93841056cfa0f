// Package usage counts the requests of each workspace, and the late first events
// of each service, in fixed windows of the wall clock. It reports the requests
// summed over all instances.
//
// Each instance counts its own requests and sends the counts to the instance
// that holds the reporting duty. The holder writes the sums to the store before
// it reports them, so that a successor reports the same sums.
package usage
