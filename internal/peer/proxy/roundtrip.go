package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// RoundTrip sends a request on a new stream to another instance and returns the response once
// its head has arrived. The stream must end with the context of the request. An error is a
// *Failure, also one of reading the body of the response.
func RoundTrip(stream peerpb.Peer_SendClient, r Request) (Response, error) {
	err := stream.Send(&peerpb.SendRequest{Head: &peerpb.RequestHead{
		Server: r.Server, Method: r.HTTP.Method, Target: r.Target, Host: r.HTTP.Host, Headers: headersToWire(r.HTTP.Header), ContentLength: r.HTTP.ContentLength,
		Instance: r.Instance, Request: r.ID, Fingerprint: r.Fingerprint, Parts: r.Parts, FreshConnection: r.FreshConnection,
	}})
	if err == nil && r.Body != nil {
		go sendBody(stream, r.Body()) // ends with the stream
	}
	reply, err := stream.Recv()
	if err != nil {
		return Response{}, lost(err)
	}
	if failure := reply.GetFailure(); failure != nil {
		return Response{}, fromWire(failure)
	}
	head := reply.GetHead()
	if head == nil {
		return Response{}, &Failure{Message: "response of the other instance has no head"}
	}
	response := &http.Response{
		StatusCode: int(head.GetStatus()), Header: headersFromWire(head.GetHeaders()), ContentLength: head.GetContentLength(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r.HTTP, Body: &responseBody{stream: stream},
	}
	if head.GetChunked() {
		response.TransferEncoding = []string{"chunked"}
	}
	return Response{HTTP: response, NewConnection: head.GetNewConnection()}, nil
}

// sendBody sends the body of a request. If it fails, the stream has ended, which its receiver
// sees too.
func sendBody(stream peerpb.Peer_SendClient, body io.ReadCloser) {
	defer body.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 && stream.Send(&peerpb.SendRequest{Body: buffer[:n]}) != nil {
			return
		}
		if err != nil {
			_ = stream.CloseSend()
			return
		}
	}
}

// responseBody reads the body of a response from a stream.
type responseBody struct {
	stream peerpb.Peer_SendClient
	rest   []byte
	err    error
}

// Read implements io.Reader. The error is io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		reply, err := b.stream.Recv()
		switch {
		case err != nil:
			b.err = lost(err)
		case reply.GetFailure() != nil:
			b.err = fromWire(reply.GetFailure())
		default:
			b.rest = reply.GetBody()
			if reply.GetEnd() {
				b.err = io.EOF
			}
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

// Close implements io.Closer. The stream ends with the context of its request.
func (b *responseBody) Close() error { return nil }

// lost returns the failure of a stream that ended without a word on the request, which may
// have been sent unless the other instance has a build that knows no such requests.
func lost(err error) error {
	if status.Code(err) == codes.Unimplemented {
		return &Failure{NotSent: true, Unsupported: true, Replied: true, Message: "other instance does not send requests for others"}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Failure{TimedOut: status.Code(err) == codes.DeadlineExceeded, Message: fmt.Sprintf("stream to the other instance ended: %v", err)}
}

func fromWire(f *peerpb.SendFailure) error {
	return &Failure{NotSent: f.GetNotSent(), Partitioned: f.GetPartitioned(), Refused: f.GetRefused(), Replied: true, Message: "at the other instance: " + f.GetError()}
}
