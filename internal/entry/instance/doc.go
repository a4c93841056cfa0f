// Package instance composes an entry instance: the request path, the exchange
// with its peers, the catalogue, the version moves and its operations address.
package instance
