// Package instances is a client of the platform's instance list.
package instances
