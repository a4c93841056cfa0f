// Package crash replicates between instances the records of requests that were
// in flight when a backend server crashed.
package crash
