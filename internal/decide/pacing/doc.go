// Package pacing divides the requests per second that a backend server takes from all
// instances together among the instances, without a counter that they share.
package pacing
