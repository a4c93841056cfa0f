// Package retry bounds the extra load that retries put on failing backend
// servers.
package retry
