// Package worker provides a fake backend server of the users' platform, with
// faults that tests can select.
package worker
