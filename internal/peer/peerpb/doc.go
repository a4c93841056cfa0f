// Package peerpb contains the generated messages and the client and server stubs
// of the Peer service between entry instances.
package peerpb
