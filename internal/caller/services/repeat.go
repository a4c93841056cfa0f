package services

import (
	"context"
	"io"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// sharedResponse is the response to a repeatable call, shared by all requests with
// the same idempotency key.
type sharedResponse struct {
	fingerprint uint64
	done        chan struct{}
	// The fields below are set before done is closed. body is nil if the response
	// was not kept.
	status int
	header http.Header
	body   []byte
}

// callDeduplicated makes a repeatable call once for all requests with the same
// key. If the first request keeps no response, the requests that waited for it make
// their own calls.
func (s *Server) callDeduplicated(ctx context.Context, w http.ResponseWriter, a *admittedCall) error {
	key := a.workspace + "\x00" + a.entry.Name + "\x00" + a.key
	own := &sharedResponse{fingerprint: a.fingerprint, done: make(chan struct{})}
	existing, loaded := s.recent.LoadOrStore(key, own, maxSharedBody, s.config.Now())
	if !loaded {
		defer close(own.done)
		err := s.callRepeatable(ctx, w, a, own)
		if own.body == nil {
			s.recent.Delete(key) // the call may run again
		}
		return err
	}
	if existing.fingerprint != a.fingerprint {
		return reply.Rejected(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key was used with another request")
	}
	select {
	case <-existing.done:
	case <-ctx.Done():
		return reply.Rejected(http.StatusServiceUnavailable, "canceled", "the client went away")
	}
	if existing.body == nil {
		return s.callRepeatable(ctx, w, a, nil)
	}
	a.record.Replayed = true
	s.setWriteDeadline(http.NewResponseController(w))
	copyHeader(w.Header(), existing.header)
	w.Header().Set(ReplayedHeader, "true")
	markFailure(w.Header(), existing.status)
	w.WriteHeader(existing.status)
	w.Write(existing.body)
	return nil
}

// callRepeatable makes a repeatable call, and repeats it at another server if an
// attempt fails. It keeps a response of at most maxSharedBody bytes in shared,
// unless shared is nil.
func (s *Server) callRepeatable(ctx context.Context, w http.ResponseWriter, a *admittedCall, shared *sharedResponse) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	ran := false
	for a.record.Attempts < s.config.MaxAttempts && s.pickServer(a) {
		res, ended, err := s.attempt(ctx, a, s.attemptID())
		if err == nil {
			var bodyStart []byte
			if bodyStart, err = readSmallBody(res); err == nil {
				defer ended()
				defer res.Body.Close()
				s.writeResponse(w, a, res, bodyStart, shared)
				return nil
			}
			res.Body.Close()
			a.exclude = append(a.exclude, a.server.ID)
		}
		ended()
		ran = ran || !service.IsNotRun(err)
		if ctx.Err() != nil {
			break
		}
	}
	if ran {
		return backendLostError()
	}
	return noBackendError(a)
}

// readSmallBody reads a body that is known to have at most maxSharedBody bytes,
// before any of it is relayed, so that the call can be repeated at another server
// if the connection breaks. It reads nothing of other bodies, which are relayed as
// they arrive.
func readSmallBody(res *http.Response) ([]byte, error) {
	if res.ContentLength <= 0 || res.ContentLength > maxSharedBody || res.Request.Method == http.MethodHead {
		return nil, nil
	}
	return io.ReadAll(res.Body)
}
