// Package suspect shares among instances which backend servers do not answer.
//
// In a large fleet an instance sends a server a request every few seconds only.
// Without word from the others, each of them would lose a request to a server
// that hangs before it avoids it.
package suspect
