// Package answer derives the expected response to a request from the request
// itself, so that the fakes can generate and the load tool can check it.
package answer
