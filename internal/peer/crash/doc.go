// Package crash spreads among instances which requests were in flight when a
// backend server crashed.
package crash
