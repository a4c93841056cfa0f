package services

import (
	"context"
	"io"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
)

// Pauses between two questions to the journal about a pending call.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// once makes a call that must not be repeated.
func (s *Server) once(ctx context.Context, w http.ResponseWriter, a *admitted) error {
	// The call is carried through, and its response stored, even if the
	// client goes away meanwhile.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.c.CallTimeout)
	defer cancel()
	key, id := journalKey(a.workspace, a.entry.Name, a.key), s.attemptID()
	if err := s.reserve(ctx, w, a, key, id); err != nil || a.record.Replayed {
		return err
	}
	for a.record.Attempts < s.c.MaxAttempts && s.pick(a) {
		res, ended, err := s.attempt(ctx, a, id)
		if err == nil {
			defer ended()
			defer res.Body.Close()
			return s.store(ctx, w, a, key, id, res)
		}
		ended()
		if !service.IsNotRun(err) {
			return lostError() // the reservation stays: the call may have run
		}
	}
	s.journal(ctx, func(ctx context.Context) error { return s.c.Journal.NotRun(ctx, key, id) })
	return noBackend(a)
}

// journal calls the journal in a time of its own.
func (s *Server) journal(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.c.JournalTimeout)
	defer cancel()
	return f(ctx)
}

// reserve records the intent. It writes the response of an earlier call.
func (s *Server) reserve(ctx context.Context, w http.ResponseWriter, a *admitted, key journal.Key, id string) error {
	status, stored := s.intent(ctx, a, key, id)
	// A call that is sent again while the first one runs waits for its response.
	deadline := s.c.Now().Add(s.c.PendingPatience)
	for pause := firstPause; status == journal.Pending && s.c.Now().Before(deadline); pause = min(2*pause, maxPause) {
		select {
		case <-ctx.Done():
			return reply.Failed(http.StatusConflict, "call_pending", "an earlier call with this idempotency key is running")
		case <-time.After(pause):
		}
		status, stored = s.intent(ctx, a, key, id)
	}
	switch status {
	case journal.Reserved:
		return nil
	case journal.Done:
		if stored != nil {
			a.record.Replayed = true
			s.writeStored(w, stored)
			return nil
		}
		fallthrough
	case journal.DoneWithoutResponse:
		return reply.Failed(http.StatusConflict, "response_not_kept", "the call ran, and its response was not kept")
	case journal.Pending:
		return reply.Failed(http.StatusConflict, "call_pending", "an earlier call with this idempotency key may be running or may have run")
	case journal.Mismatch:
		return reply.Rejected(http.StatusUnprocessableEntity, "idempotency_key_reused", "the idempotency key was used with another request")
	}
	e := reply.Rejected(http.StatusServiceUnavailable, "journal_unavailable", "the call cannot be recorded now and was not run")
	e.RetryAfter = time.Second
	return e
}

// intent asks the journal for the key once.
func (s *Server) intent(ctx context.Context, a *admitted, key journal.Key, id string) (status journal.Status, stored *journal.Response) {
	err := s.journal(ctx, func(ctx context.Context) (err error) {
		status, stored, err = s.c.Journal.Reserve(ctx, key, a.fingerprint, id)
		return err
	})
	if err == nil {
		return status, stored
	}
	// The reservation may have been recorded; the call will not run.
	s.journal(ctx, func(ctx context.Context) error { return s.c.Journal.NotRun(ctx, key, id) })
	return journal.Unavailable, nil
}

// store completes the journal and writes the response.
func (s *Server) store(ctx context.Context, w http.ResponseWriter, a *admitted, key journal.Key, id string, res *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(res.Body, maxStored+1))
	if err != nil {
		return lostError()
	}
	var keep *journal.Response
	if len(head) <= maxStored {
		keep = &journal.Response{Status: uint32(res.StatusCode), ContentType: res.Header.Get("Content-Type"), Body: head}
	}
	// If this fails the key stays pending: a second call gets unknown.
	s.journal(ctx, func(ctx context.Context) error { return s.c.Journal.Complete(ctx, key, id, keep) })
	s.writeResponse(w, a, res, head, nil)
	return nil
}

func (s *Server) writeStored(w http.ResponseWriter, r *journal.Response) {
	s.setDeadline(http.NewResponseController(w))
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set(ReplayedHeader, "true")
	markFailure(w.Header(), int(r.Status))
	w.WriteHeader(int(r.Status))
	w.Write(r.Body)
}
