package openai

import (
	"context"
	"errors"
	"net/http"
	"time"
	"unsafe"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// driver runs the attempts of a generation until it ends.
type driver struct {
	server     *Server
	generation *generation
	admitted   *admittedRequest
	out        sink
	record     *RequestRecord
	// exclude holds the IDs of the servers that failed or rejected an attempt.
	exclude []string
	// overloaded holds the IDs of the servers that rejected an attempt because
	// they were overloaded.
	overloaded []string
	// suspect is true if the request has the verdict VerdictSuspect.
	suspect bool
	// suspectConflict is true if a server was excluded because it runs another
	// suspect or is assigned to one.
	suspectConflict bool
	// move is the ID of the version move that the attempt's result is evidence
	// for, and step is the step of that move; see Versions.
	version, move string
	step          uint8
	// versionFailed is true if an attempt failed or was lost on a server that was
	// not leaving, so the version may be the cause.
	versionFailed bool
	// cacheAttemptID is the ID of the attempt whose KV cache was copied to the
	// server with the ID cacheServerID, or empty if there is no copied cache.
	cacheAttemptID, cacheServerID string
	// uncharged is true if the next attempt is not charged to the retry budget,
	// so that, for example, an announced reclaim does not fail a request.
	uncharged bool
	// interrupted is true after an attempt that a server may have started ended
	// before its last frame.
	interrupted bool

	// held is the memory of the response so far, which has textBytes bytes.
	held      *limit.Holding
	textBytes int64

	// State of the current attempt.
	backend       route.Backend
	attemptID     string
	attemptStart  time.Time
	lastTokenAt   time.Time // when the last token had been written to out
	firstToken    time.Duration
	betweenTokens time.Duration // total wait for the tokens after the first
	tokens        int
	leaving       <-chan struct{}
	migrateAt     time.Time // when the attempt migrates; zero until a reclaim deadline is known
}

var (
	errMigrated = errors.New("attempt migrated to another server")
	errDropped  = errors.New("the response does not fit into the memory of the instance")
	errNoServer = errors.New("no server available for the attempt")
)

// drive runs attempts until the generation has ended. It returns
// errClientDisconnected if the client disconnects, does not read, or ctx ends; the
// generation can then be continued by another handler.
func (s *Server) drive(ctx context.Context, a *admittedRequest, out sink, record *RequestRecord) error {
	d := &driver{server: s, generation: a.generation, admitted: a, out: out, record: record}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.held = s.config.Responses.Hold(cancel)
	defer d.held.Release()
	for _, t := range d.generation.generatedTokens() {
		d.textBytes += tokenBytes(t)
	}
	var lastErr error
	for n := 0; n < s.config.MaxAttempts; n++ {
		switch s.config.Poison.Verdict(d.generation.fingerprint) {
		case VerdictPoison:
			d.generation.fail(poisonError(d.outcome()))
			return nil
		case VerdictSuspect:
			d.suspect = true
		}
		if err := d.chooseServer(ctx, n > 0); err != nil {
			if d.held.Evicted() {
				d.generation.fail(droppedError())
				return nil
			}
			if ctx.Err() != nil {
				return errClientDisconnected
			}
			d.generation.fail(d.failureError(lastErr))
			return nil
		}
		err := d.runAttempt(ctx)
		if d.isDropped(err) {
			d.generation.fail(droppedError())
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errClientDisconnected) {
			return errClientDisconnected
		}
		if err == nil {
			return nil
		}
		lastErr = err
		if engine.Reason(err) == engine.ReasonPoison {
			d.generation.fail(poisonError(d.outcome()))
			return nil
		}
	}
	d.generation.fail(d.failureError(lastErr))
	return nil
}

// isDropped reports whether an attempt ended with err because the instance has no memory
// left for the response.
func (d *driver) isDropped(err error) bool {
	return err != nil && (errors.Is(err, errDropped) || d.held.Evicted())
}

func droppedError() *reply.Error {
	return reply.Failed(http.StatusBadGateway, "memory_full", "the instance has no memory left for the response")
}

// tokenBytes returns the bytes that a token holds.
func tokenBytes(token string) int64 { return int64(len(token)) + int64(unsafe.Sizeof(token)) }

func (d *driver) outcome() string {
	if d.generation.mayHaveRun() {
		return reply.OutcomeUnknown
	}
	return reply.OutcomeNotRun
}

// failureError returns the error for the client when no further attempt is made.
// lastErr is the error of the last attempt, or nil if there was none.
func (d *driver) failureError(lastErr error) *reply.Error {
	if d.generation.mayHaveRun() {
		return reply.Failed(http.StatusBadGateway, "backend_failed", "the response could not be completed")
	}
	code, message := "no_backend", "no backend server may run the request now"
	if lastErr != nil {
		code, message = "backend_rejected", "the backend servers rejected the request"
	}
	e := reply.Rejected(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = time.Second
	return e
}
