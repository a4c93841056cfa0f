// Package coldstart decides which instance may send requests to a backend server that
// is cold, and when, so that all instances together do not send more than the server
// can handle.
package coldstart
