// Package routes provides the routing table by which instances forward plain
// HTTP requests: routes, services and workspaces.
package routes
