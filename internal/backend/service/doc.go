// Package service is an HTTP client for plain services. It reports whether a
// failed call may have run, because some calls must not be repeated.
package service
