// Package crash replicates crash records between instances. A crash record
// identifies a request that was in flight when a backend server crashed.
package crash
