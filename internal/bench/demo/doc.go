// Package demo starts the whole system as separate processes on loopback,
// sends requests with real clients and checks every response.
package demo
