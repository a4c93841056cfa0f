package reply

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 1 << 20

// MaxBodyMemory is the memory that a body of MaxBodyBytes takes, in bytes.
const MaxBodyMemory = MaxBodyBytes * bodyCost

// Names of request headers. Every response also carries RequestIDHeader.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// Authenticate returns the workspace that a request's bearer token belongs to.
// s may be nil if no catalogue has been loaded; the request is then rejected. The
// error is an *Error.
func Authenticate(s *catalogue.Snapshot, r *http.Request) (*catalogue.Workspace, error) {
	if s == nil {
		return nil, Rejected(http.StatusServiceUnavailable, "no_catalogue", "this instance has no catalogue yet")
	}
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > 512 {
		return nil, Rejected(http.StatusUnauthorized, "missing_token", "a bearer token is required")
	}
	w, ok := s.WorkspaceByToken(token)
	if !ok {
		return nil, Rejected(http.StatusUnauthorized, "invalid_token", "the bearer token belongs to no workspace")
	}
	return w, nil
}

// errMemoryFull is the error of reading a body that does not fit into the memory of the
// instance.
var errMemoryFull = errors.New("request body does not fit into the memory of the instance")

// bodyCost is the memory that a byte of a body takes: the buffer that it is read into, and
// what the request is decoded to.
const bodyCost = 2

// heldBody counts the memory for the bytes that are read from a body in a Holding.
type heldBody struct {
	io.ReadCloser
	held *limit.Holding
	size int64
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	switch {
	case !b.held.Resize(b.size * bodyCost), err != nil && !b.held.Keep():
		return n, errMemoryFull
	default:
		return n, err
	}
}

// ReadBody reads a request body of at most MaxBodyBytes. The error is an *Error.
func ReadBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBodyBytes {
		return nil, bodyTooLarge()
	}
	body, err := readAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes), r.ContentLength)
	var tooLargeErr *http.MaxBytesError
	if errors.As(err, &tooLargeErr) {
		return nil, bodyTooLarge()
	}
	if errors.Is(err, errMemoryFull) || errors.Is(err, connlimit.ErrMemoryFull) {
		e := Rejected(http.StatusServiceUnavailable, "memory_full", "the instance has no memory left for the request")
		e.RetryAfter = time.Second
		return nil, e
	}
	if errors.Is(err, connlimit.ErrStalled) {
		return nil, Rejected(http.StatusRequestTimeout, "body_stalled", "nothing of the request body came for too long")
	}
	if err != nil {
		return nil, Invalid("", "incomplete_body", "the request body is incomplete")
	}
	return body, nil
}

// minBuffer is the size of the first buffer of a body, in bytes.
const minBuffer = 4 << 10

// readAll reads a body of which expected bytes are announced, or -1. Its buffer never
// exceeds twice what has come, or what is announced, so that an announcement alone takes
// no memory.
func readAll(r io.Reader, expected int64) ([]byte, error) {
	b := make([]byte, 0, minBuffer)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
		if len(b) == cap(b) {
			b = append(make([]byte, 0, nextBuffer(len(b), expected)), b...)
		}
	}
}

// nextBuffer returns the size of the next buffer when one of the given size is full.
func nextBuffer(size int, expected int64) int {
	if next := int64(2 * size); expected <= int64(size) || next <= expected {
		return int(next)
	}
	return int(expected) + 1 // one more byte shows the end
}

func bodyTooLarge() error {
	return Rejected(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is larger than 1 MiB")
}

// IdempotencyKey returns the idempotency key of a request, or an empty string if it has
// none.
func IdempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		return "", Invalid("", "invalid_idempotency_key", "the idempotency key is longer than 255 bytes")
	}
	return key, nil
}

// RequestID returns the client's request ID if it consists of 1 to 128 printable
// ASCII characters without spaces, and a new ID otherwise.
func RequestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id == "" || len(id) > 128 {
		return uuid.NewString()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return uuid.NewString()
		}
	}
	return id
}

// Handler returns a handler that serves an endpoint with go-kit's HTTP
// transport. Every response carries the request ID. Request bodies are held in m until the
// end of the response; m may be nil.
func Handler[Q, P any](m *limit.Memory, e func(context.Context, Q) (P, error), decode func(*http.Request) (Q, error), encode func(context.Context, http.ResponseWriter, P) error) http.Handler {
	var ep endpoint.Endpoint = func(ctx context.Context, q any) (any, error) { return e(ctx, q.(Q)) }
	server := kithttp.NewServer(ep,
		func(_ context.Context, r *http.Request) (any, error) { return decode(r) },
		func(ctx context.Context, w http.ResponseWriter, p any) error { return encode(ctx, w, p.(P)) },
		kithttp.ServerErrorEncoder(EncodeError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := RequestID(r)
		r.Header.Set(RequestIDHeader, id)
		w.Header().Set(RequestIDHeader, id)
		if r.Body != nil && r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			held := m.Hold(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }) // ends the read
			defer held.Release()
			// net/http looks at the body of its own request before a response.
			body := &heldBody{ReadCloser: &deadlineBody{r.Body, controller, false}, held: held}
			r = r.WithContext(r.Context())
			r.Body = body
		}
		server.ServeHTTP(w, r)
	})
}

// Time limits for reading a request body and for writing a short response.
const (
	readTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
)

// deadlineBody limits the time for reading a request body. The read deadline is
// cleared at the end of the body, because net/http detects a client disconnect
// by a read on the connection, which the deadline would interrupt.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	started    bool
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		b.controller.SetReadDeadline(time.Now().Add(readTimeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetWriteDeadline limits the time for writing to a client. A write deadline
// stays on the connection until it is replaced, so each response sets its own.
func SetWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// EncodeJSON writes v as a JSON response.
func EncodeJSON[T any](_ context.Context, w http.ResponseWriter, v T) error {
	SetWriteDeadline(w, writeTimeout)
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}
