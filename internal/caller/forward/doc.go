// Package forward is a reverse proxy for plain HTTP requests of clients. It
// forwards each request, unchanged, to a backend server of the service that the
// request's route selects. Handler.ServeHTTP receives a request, exchange.send
// makes one attempt at a server, and exchange.run decides whether to retry.
package forward
