// Package connlimit bounds what the connections of clients that are not trusted hold: their
// number, the size of a request's head, and the time that a client may make no progress.
// It works around net/http, which allocates before a handler can refuse: a head is counted
// as it is read, and a connection that is refused is closed before net/http sees the bytes.
package connlimit
