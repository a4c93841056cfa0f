// Package speed estimates how fast each backend server is relative to the other
// servers of its service, from the durations that requests show. Package route
// places requests by the estimates.
package speed
