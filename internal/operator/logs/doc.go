// Package logs provides an asynchronous log writer that never blocks its callers.
package logs
