// Package gateway assembles an instance that forwards plain HTTP requests to
// backend servers according to a table of routes. The configuration, the
// servers and the other instances are read from a store.
package gateway
