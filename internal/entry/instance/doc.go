// Package instance assembles an entry instance: the request path for clients,
// the exchange of state with peer instances, the propagation of the catalogue,
// the version moves, the client side of the platform (registration, instance
// list and reclaim notices) and the HTTP endpoints for operators.
//
// A version move gradually shifts the requests of a catalogue entry from one
// version to another. A veto by any instance rolls it back.
package instance
