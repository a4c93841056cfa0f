// Package evacuation decides which failure domains are used: an operator evacuates
// a failure domain by a key of the store, and returns it to service by removing the
// key.
package evacuation
