// Package routes provides the routing table for plain HTTP requests, which
// consists of routes, services and workspaces.
package routes
