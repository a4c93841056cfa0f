package proxy

import (
	"errors"
	"io"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// chunkBytes is the size of the largest part of a body in one message.
const chunkBytes = 16 << 10

// Request is a request to one process of a backend server. The instance that gets it sends it
// once at most.
type Request struct {
	// Server identifies the process, as pool.Worker.Process.
	Server string
	// HTTP is the request. Its URL is not used, nor is its body by the instance that sends it
	// to another one: Body returns that anew for each try; it may be nil.
	HTTP *http.Request
	Body func() io.ReadCloser
	// Target is the request target as in the request line.
	Target string
	// Instance is the ID of the instance that sends the request, and ID that of the request.
	Instance, ID string
	// Fingerprint and Parts identify the request if it crashes the server.
	Fingerprint uint64
	Parts       []uint64
	// FreshConnection reports whether the request must be sent on a new connection.
	FreshConnection bool
}

// Response is the response to a Request.
type Response struct {
	HTTP *http.Response
	// NewConnection reports whether no earlier request was sent on its connection.
	NewConnection bool
}

// ErrNoPeer means that no other instance can send a request now. Nothing was sent.
var ErrNoPeer = errors.New("no other instance can send the request")

// Failure is the error of a request without a complete response.
type Failure struct {
	// NotSent reports whether provably no byte of the request was sent to the server.
	NotSent bool
	// Partitioned reports whether the other instance reaches no server either, and Refused
	// whether the server wants no requests from it.
	Partitioned, Refused bool
	// Unsupported reports whether the other instance has a build that does not send requests
	// for others.
	Unsupported bool
	// TimedOut reports whether the stream ended with the deadline of the request, which the
	// other instance may notice first.
	TimedOut bool
	// Replied reports whether the other instance said that the request failed.
	Replied bool
	// PeerSuspect reports whether the other instance, and not the server, may be why there is
	// no response.
	PeerSuspect bool
	Message     string
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

// headersToWire returns headers as messages.
func headersToWire(h http.Header) (wire []*peerpb.Header) {
	for name, values := range h {
		wire = append(wire, &peerpb.Header{Name: name, Values: values})
	}
	return wire
}

// headersFromWire returns the headers in messages. A header without values keeps net/http from
// adding its own.
func headersFromWire(wire []*peerpb.Header) http.Header {
	h := make(http.Header, len(wire))
	for _, w := range wire {
		h[w.GetName()] = w.GetValues()
	}
	return h
}
