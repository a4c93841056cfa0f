// Package tcp makes connections to backend servers that can prove whether a
// byte of a request was sent.
package tcp
