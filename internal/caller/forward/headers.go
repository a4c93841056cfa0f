package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers are the names of the headers that clients, instances and backend
// servers share.
type Headers struct {
	// Request identifies one attempt of a client; a server echoes it.
	Request string
	// Remaining is how many milliseconds the sender will wait.
	Remaining string
	// Key authenticates a client, and Workspace tells the server whose it is.
	Key, Workspace string
	// ExpectServer makes any other server than the named one reject the request.
	ExpectServer string
	// NotRun marks an answer to a request that the server did not run.
	NotRun string
	// Proof marks an answer as the server's own.
	Proof string
	// Tokens are the numbers of prompt tokens and of output tokens at most.
	Tokens string
	// Prefix lists the parts of the prompt in order, as ID:TOKENS.
	Prefix string
	// FetchFrom names a server from which another one fetches what was read of a
	// prompt.
	FetchFrom string
	// ReservedForUser are further headers that a client must not set.
	ReservedForUser []string
}

// lastEvent is the standard header with which a stream is resumed.
const lastEvent = "Last-Event-Id"

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// copyEndToEnd copies the headers that concern more than one connection.
func copyEndToEnd(to, from http.Header) {
	var named map[string]bool
	for _, v := range from["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !connectionHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}

// reserve removes the headers that are the system's to set.
func (h *Headers) reserve(header http.Header) {
	for _, name := range []string{h.Key, h.Workspace, h.ExpectServer, h.FetchFrom, h.Remaining} {
		header.Del(name)
	}
	for _, name := range h.ReservedForUser {
		header.Del(name)
	}
}
