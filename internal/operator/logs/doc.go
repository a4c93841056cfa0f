// Package logs provides an asynchronous log writer whose Write never blocks, so
// that requests do not wait for log output.
package logs
