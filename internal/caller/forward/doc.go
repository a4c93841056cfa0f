// Package forward answers plain HTTP requests of clients by forwarding them,
// unchanged, to a backend server of their route's service. A request enters in
// Handler.ServeHTTP, is sent in exchange.send, and its fate is decided in
// exchange.run.
package forward
