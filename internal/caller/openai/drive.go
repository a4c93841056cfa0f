package openai

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// run drives a generation through its attempts.
type run struct {
	s      *Server
	g      *generation
	p      *response
	out    sink
	record *Request
	// exclude holds the servers that failed or rejected an attempt.
	exclude []string
	// busy holds the servers that rejected an attempt as overloaded.
	busy    []string
	suspect bool
	// crowded is true if a server was passed over for another suspect there.
	crowded       bool
	version, move string
	step          uint8
	// versionFailed is true if an attempt of the version failed or was lost
	// without another reason.
	versionFailed bool
	// imported names the attempt whose KV cache is on target.
	imported, target string
	// free is true if the next attempt is not charged to the retry budget:
	// an announced reclaim must not fail a request.
	free bool
	// interrupted is true once an attempt ended before its last frame, though
	// the server had begun it.
	interrupted bool

	// These belong to the attempt under way.
	backend route.Backend
	id      string
	began   time.Time
	last    time.Time // when the last token had been passed on
	first   time.Duration
	waited  time.Duration // for tokens after the first
	tokens  int
	leaving <-chan struct{}
	moveAt  time.Time
}

var (
	errMoved = errors.New("attempt moves to another server")
	errGone  = errors.New("no server may run the attempt")
)

// drive runs attempts until the generation has ended. An error means that the
// client is gone; the generation is then left as it is.
func (s *Server) drive(ctx context.Context, p *response, out sink, record *Request) error {
	r := &run{s: s, g: p.g, p: p, out: out, record: record}
	var last error
	for n := 0; n < s.c.MaxAttempts; n++ {
		switch s.c.Poison.Verdict(r.g.fingerprint) {
		case Poison:
			r.g.fail(poisonError(r.outcome()))
			return nil
		case Suspect:
			r.suspect = true
		}
		if err := r.choose(ctx, n > 0); err != nil {
			if ctx.Err() != nil {
				return errClient
			}
			r.g.fail(r.failure(last))
			return nil
		}
		err := r.attempt(ctx)
		if ctx.Err() != nil || errors.Is(err, errClient) {
			return errClient
		}
		if err == nil {
			return nil
		}
		last = err
		if engine.Reason(err) == engine.ReasonPoison {
			r.g.fail(poisonError(r.outcome()))
			return nil
		}
	}
	r.g.fail(r.failure(last))
	return nil
}

func (r *run) outcome() string {
	if r.g.wasSent() {
		return reply.Unknown
	}
	return reply.NotRun
}

// failure is what the client is told when no further attempt is made.
func (r *run) failure(last error) *reply.Error {
	if r.g.wasSent() {
		return reply.Failed(http.StatusBadGateway, "backend_failed", "the response could not be completed")
	}
	code, message := "no_backend", "no backend server may run the request now"
	if last != nil {
		code, message = "backend_rejected", "the backend servers rejected the request"
	}
	e := reply.Rejected(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = time.Second
	return e
}
