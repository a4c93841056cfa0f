package services

import (
	"context"
	"io"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// shared is the response to a repeatable call with an idempotency key.
type shared struct {
	fingerprint uint64
	done        chan struct{}
	// header and body are set before done is closed; body is nil if the
	// response was not kept.
	status int
	header http.Header
	body   []byte
}

// dedupe makes a repeatable call once for all requests with the same key.
func (s *Server) dedupe(ctx context.Context, w http.ResponseWriter, a *admitted) error {
	key := a.workspace + "\x00" + a.entry.Name + "\x00" + a.key
	own := &shared{fingerprint: a.fingerprint, done: make(chan struct{})}
	first, loaded := s.recent.LoadOrStore(key, own, maxKeptBody, s.c.Now())
	if !loaded {
		defer close(own.done)
		err := s.repeat(ctx, w, a, own)
		if own.body == nil {
			s.recent.Delete(key) // it may run again
		}
		return err
	}
	if first.fingerprint != a.fingerprint {
		return reply.Rejected(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key was used with another request")
	}
	select {
	case <-first.done:
	case <-ctx.Done():
		return reply.Rejected(http.StatusServiceUnavailable, "canceled", "the client went away")
	}
	if first.body == nil {
		return s.repeat(ctx, w, a, nil)
	}
	a.record.Replayed = true
	s.setDeadline(http.NewResponseController(w))
	copyHeader(w.Header(), first.header)
	w.Header().Set(ReplayedHeader, "true")
	markFailure(w.Header(), first.status)
	w.WriteHeader(first.status)
	w.Write(first.body)
	return nil
}

// repeat makes a repeatable call, on another server if one is lost.
func (s *Server) repeat(ctx context.Context, w http.ResponseWriter, a *admitted, keep *shared) error {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	ran := false
	for a.record.Attempts < s.c.MaxAttempts && s.pick(a) {
		res, ended, err := s.attempt(ctx, a, s.attemptID())
		if err == nil {
			var head []byte
			if head, err = readSmall(res); err == nil {
				defer ended()
				defer res.Body.Close()
				s.writeResponse(w, a, res, head, keep)
				return nil
			}
			res.Body.Close()
			a.exclude = append(a.exclude, a.slot.ID)
		}
		ended()
		ran = ran || !service.IsNotRun(err)
		if ctx.Err() != nil {
			break
		}
	}
	if ran {
		return lostError()
	}
	return noBackend(a)
}

// readSmall reads a body that is known to be small, so that its loss can be
// made good on another server. Other bodies are relayed as they arrive.
func readSmall(res *http.Response) ([]byte, error) {
	if res.ContentLength <= 0 || res.ContentLength > maxKeptBody || res.Request.Method == http.MethodHead {
		return nil, nil
	}
	return io.ReadAll(res.Body)
}
