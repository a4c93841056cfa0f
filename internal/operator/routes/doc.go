// Package routes holds the table of routes, services and workspaces that
// instances forward plain HTTP requests by.
package routes
