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

// The interval between requests to the journal about a pending call doubles from
// initialPollInterval to maxPollInterval.
const (
	initialPollInterval = 20 * time.Millisecond
	maxPollInterval     = 200 * time.Millisecond
)

// callOnce makes a call that must not be repeated. It tries another server only
// if the previous one provably did not run the call.
func (s *Server) callOnce(ctx context.Context, w http.ResponseWriter, a *admittedCall) error {
	// Complete the call and store its response even if the client disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.CallTimeout)
	defer cancel()
	// All attempts share the ID, because the journal holds the reservation under
	// that ID.
	key, attemptID := journalKey(a.workspace, a.entry.Name, a.key), s.attemptID()
	if err := s.reserveKey(ctx, w, a, key, attemptID); err != nil || a.record.Replayed {
		return err
	}
	for a.record.Attempts < s.config.MaxAttempts && s.pickServer(a) {
		res, ended, err := s.attempt(ctx, a, attemptID)
		if err == nil {
			defer ended()
			defer res.Body.Close()
			return s.completeCall(ctx, w, a, key, attemptID, res)
		}
		ended()
		if !service.IsNotRun(err) {
			return backendLostError() // the reservation stays: the call may have run
		}
	}
	s.withJournalTimeout(ctx, func(ctx context.Context) error { return s.config.Journal.NotRun(ctx, key, attemptID) })
	return noBackendError(a)
}

// withJournalTimeout calls f with a context that is limited by JournalTimeout
// alone, whatever time is left for the call.
func (s *Server) withJournalTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.JournalTimeout)
	defer cancel()
	return f(ctx)
}

// reserveKey reserves the key in the journal. If an earlier call with the key has
// a stored response, reserveKey writes it to the client and sets
// a.record.Replayed.
func (s *Server) reserveKey(ctx context.Context, w http.ResponseWriter, a *admittedCall, key journal.Key, attemptID string) error {
	status, stored := s.tryReserve(ctx, a, key, attemptID)
	// If an earlier call with the key is still running, wait for its response.
	deadline := s.config.Now().Add(s.config.PendingTimeout)
	for interval := initialPollInterval; status == journal.Pending && s.config.Now().Before(deadline); interval = min(2*interval, maxPollInterval) {
		select {
		case <-ctx.Done():
			return reply.Failed(http.StatusConflict, "call_pending", "an earlier call with this idempotency key is running")
		case <-time.After(interval):
		}
		status, stored = s.tryReserve(ctx, a, key, attemptID)
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

// tryReserve makes one attempt to reserve the key.
func (s *Server) tryReserve(ctx context.Context, a *admittedCall, key journal.Key, attemptID string) (status journal.Status, stored *journal.Response) {
	err := s.withJournalTimeout(ctx, func(ctx context.Context) (err error) {
		status, stored, err = s.config.Journal.Reserve(ctx, key, a.fingerprint, attemptID)
		return err
	})
	if err == nil {
		return status, stored
	}
	// The reservation may have been recorded despite the error. Remove it,
	// because the call will not run.
	s.withJournalTimeout(ctx, func(ctx context.Context) error { return s.config.Journal.NotRun(ctx, key, attemptID) })
	return journal.Unavailable, nil
}

// completeCall records the response in the journal and writes it to the client.
func (s *Server) completeCall(ctx context.Context, w http.ResponseWriter, a *admittedCall, key journal.Key, attemptID string, res *http.Response) error {
	bodyStart, err := io.ReadAll(io.LimitReader(res.Body, maxJournalBody+1))
	if err != nil {
		return backendLostError()
	}
	var stored *journal.Response
	if len(bodyStart) <= maxJournalBody {
		stored = &journal.Response{Status: uint32(res.StatusCode), ContentType: res.Header.Get("Content-Type"), Body: bodyStart}
	}
	// If this fails, the key stays pending, and a second call with the key gets
	// the outcome unknown.
	s.withJournalTimeout(ctx, func(ctx context.Context) error { return s.config.Journal.Complete(ctx, key, attemptID, stored) })
	s.writeResponse(w, a, res, bodyStart, nil)
	return nil
}

func (s *Server) writeStored(w http.ResponseWriter, r *journal.Response) {
	s.setWriteDeadline(http.NewResponseController(w))
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set(ReplayedHeader, "true")
	markFailure(w.Header(), int(r.Status))
	w.WriteHeader(int(r.Status))
	w.Write(r.Body)
}
