// Package proxy carries a request to a backend server, and the response, between an instance
// that does not reach the server and one that does. Its Client chooses the latter, and tells
// failures of that instance from those of the server.
package proxy
