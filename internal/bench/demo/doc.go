// Package demo starts the whole system as separate processes on loopback,
// drives it with real clients and checks every response.
package demo
