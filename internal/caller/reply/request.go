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
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// MaxBody bounds a request body, in bytes.
const MaxBody = 1 << 20

// Header names.
const (
	RequestIDHeader = "X-Request-Id"
	KeyHeader       = "Idempotency-Key"
)

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// Authenticate returns the workspace of a request's bearer token.
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

// ReadBody reads a request body of at most MaxBody bytes.
func ReadBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBody {
		return nil, tooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge()
	}
	if err != nil {
		return nil, Invalid("", "incomplete_body", "the request body is incomplete")
	}
	return body, nil
}

func tooLarge() error {
	return Rejected(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is larger than 1 MiB")
}

// Key returns the idempotency key of a request, or an empty string.
func Key(r *http.Request) (string, error) {
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return "", Invalid("", "invalid_idempotency_key", "the idempotency key is longer than 255 bytes")
	}
	return key, nil
}

// RequestID returns the request's own ID if it is usable, or a new one.
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

// Handler serves an endpoint over go-kit's HTTP transport. Every response
// carries the request's ID.
func Handler[Q, P any](e func(context.Context, Q) (P, error), decode func(*http.Request) (Q, error), encode func(context.Context, http.ResponseWriter, P) error) http.Handler {
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
			r.Body = &timedBody{r.Body, http.NewResponseController(w), false}
		}
		server.ServeHTTP(w, r)
	})
}

// Bounds of reading a request and of writing a short response.
const (
	readTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
)

// timedBody bounds the time for reading a body. The bound must not last
// longer: net/http watches for the client's departure with a read.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	started bool
}

func (b *timedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		b.control.SetReadDeadline(time.Now().Add(readTimeout))
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetWriteDeadline bounds the next write to a client. A deadline stays on the
// connection until the next one, so each response sets its own.
func SetWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}

// EncodeJSON writes a value as JSON.
func EncodeJSON[T any](_ context.Context, w http.ResponseWriter, v T) error {
	SetWriteDeadline(w, writeTimeout)
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}
