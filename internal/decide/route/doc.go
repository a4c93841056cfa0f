// Package route chooses the backend server for a request.
package route
