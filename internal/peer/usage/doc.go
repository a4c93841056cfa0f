// Package usage counts the requests of each workspace in fixed windows of the
// wall clock and reports the sums over all instances. For each service, it also
// counts the first events of streams and how many of them were late; these sums
// are not reported but read with Reporter.Load.
//
// Each instance counts its own requests and sends the counts to the instance
// that holds the reporting duty. The holder writes the sums of the requests to
// the store before it reports them, so that a successor reports the same sums. A
// window that may have been reported before the store lost its sums, in an
// earlier era, is not summed up again.
package usage
