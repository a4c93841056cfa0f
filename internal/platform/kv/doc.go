// Package kv is a client of the platform's key-value service.
package kv
