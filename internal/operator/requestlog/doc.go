// Package requestlog extracts the events of a single request from the logs of
// instances.
package requestlog
