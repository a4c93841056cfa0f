// Package instance assembles an entry instance: the request path for clients,
// the exchange of state with peer instances, the propagation of the catalogue,
// the version moves and the HTTP endpoints for operators.
package instance
