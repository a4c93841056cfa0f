// Package forward is a reverse proxy that serves a table of routes (package
// routes). A request's host and path select a route, and the route selects a
// service, whose backend servers run a language model or other software. Unless
// the route is public, the request is authenticated by its key and takes units of
// its workspace's allowance. It reaches a backend server with its method, URI and
// body unchanged. Event streams are relayed, and resumed at another server if the
// route allows that.
//
// Requests without a usable server wait in a queue (waiters), by the rules of package
// admission.
//
// Handler.ServeHTTP receives a request, exchange.send makes one attempt at a
// server, and exchange.run decides whether to retry.
//
// Package services is the counterpart for the plain services of a catalogue: it
// records in a journal the calls that must not be repeated, and resumes no streams.
package forward
