// Package tcp provides HTTP transports to backend servers that can prove that no
// byte of a failed request was sent.
package tcp
