// Package worker is a stand-in for a backend server on the users' platform,
// with faults that tests switch on.
package worker
