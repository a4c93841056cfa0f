package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// Sender sends a request to its server. An error is a *Failure if it says more than that the
// request may have been sent. The context ends when the other instance no longer waits.
type Sender func(ctx context.Context, r Request) (Response, error)

// Serve serves a request that another instance sends on a stream.
func Serve(stream peerpb.Peer_SendServer, send Sender) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = status.Errorf(codes.Internal, "sending a request failed: %v", p)
		}
	}()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "request has no head")
	}
	response, err := send(stream.Context(), requestFromWire(head, stream))
	if err != nil {
		return stream.Send(&peerpb.SendReply{Failure: failureToWire(err)})
	}
	defer response.HTTP.Body.Close()
	if err := stream.Send(&peerpb.SendReply{Head: responseToWire(response)}); err != nil {
		return err
	}
	return sendResponseBody(stream, response.HTTP.Body)
}

// requestFromWire returns the request with a head, whose body is read from the stream. It has a
// body even if that is empty: net/http may repeat a request without one by itself.
func requestFromWire(head *peerpb.RequestHead, stream peerpb.Peer_SendServer) Request {
	r := &http.Request{
		Method: head.GetMethod(), Host: head.GetHost(), Header: headersFromWire(head.GetHeaders()), ContentLength: head.GetContentLength(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: &requestBody{stream: stream},
	}
	return Request{
		Server: head.GetServer(), HTTP: r, Target: head.GetTarget(), Instance: head.GetInstance(), ID: head.GetRequest(),
		Fingerprint: head.GetFingerprint(), Parts: head.GetParts(), FreshConnection: head.GetFreshConnection(),
	}
}

// requestBody reads the body of a request from a stream.
type requestBody struct {
	stream peerpb.Peer_SendServer
	rest   []byte
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		part, err := b.stream.Recv()
		if err != nil {
			return 0, err // io.EOF at the end of the body
		}
		b.rest = part.GetBody()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer. The stream ends with its handler.
func (b *requestBody) Close() error { return nil }

func responseToWire(r Response) *peerpb.ResponseHead {
	return &peerpb.ResponseHead{
		Status: int32(r.HTTP.StatusCode), Headers: headersToWire(r.HTTP.Header), ContentLength: r.HTTP.ContentLength,
		Chunked: len(r.HTTP.TransferEncoding) > 0, NewConnection: r.NewConnection,
	}
}

// sendResponseBody sends a body in parts as they arrive, and how it ends.
func sendResponseBody(stream peerpb.Peer_SendServer, body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&peerpb.SendReply{Body: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.Send(&peerpb.SendReply{End: true})
		}
		if err != nil {
			return stream.Send(&peerpb.SendReply{Failure: failureToWire(err)})
		}
	}
}

func failureToWire(err error) *peerpb.SendFailure {
	var f *Failure
	if !errors.As(err, &f) {
		f = new(Failure)
	}
	return &peerpb.SendFailure{NotSent: f.NotSent, Partitioned: f.Partitioned, Refused: f.Refused, Error: err.Error()}
}
