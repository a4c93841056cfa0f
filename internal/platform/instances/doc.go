// Package instances is a client for the platform's instance list.
package instances
