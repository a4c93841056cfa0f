// Package worker provides a fake backend server that implements the headers of
// the platform's forwarding protocol (attempt ID, server seal, not executed), with
// faults that tests can select. Unlike the fakes of packages engine and service, it
// does not interpret request bodies; it derives the response from the attempt ID.
package worker
