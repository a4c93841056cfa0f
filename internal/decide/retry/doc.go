// Package retry limits the additional load that retries put on failing backend
// servers.
package retry
