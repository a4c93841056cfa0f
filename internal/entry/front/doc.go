// Package front puts together an instance that forwards plain HTTP requests by
// the table of routes.
package front
