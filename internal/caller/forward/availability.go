package forward

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
)

// recordAvailability records what the headers of a response say about the
// availability of the server. They hold whatever request the response belongs to,
// because they describe the process at the other end of the connection.
func (e *exchange) recordAvailability(server *pool.Worker, r *http.Response) {
	if r.Header.Get(e.config.Headers.Leaving) == "1" && server.MarkLeaving() {
		e.config.Log.Info("backend server says that it is leaving", zap.String("server", server.ID),
			zap.String("address", server.Address), zap.Int64("incarnation", server.Incarnation))
	}
	e.recordColdTime(server, r)
	if r.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if wait := parseRetryAfter(r.Header.Get("Retry-After")); wait > 0 {
		server.SetRetryAt(e.config.Now().Add(wait))
	}
}

// recordColdTime records for how long the server says that it stays cold.
func (e *exchange) recordColdTime(server *pool.Worker, r *http.Response) {
	value := r.Header.Get(e.config.Headers.Cold)
	if value == "" {
		return
	}
	now, left := e.config.Now(), parseMillis(value)
	if server.SetColdLeft(left, now) && server.Cold(now) {
		e.config.Log.Info("backend server says that it is cold", zap.String("server", server.ID), zap.Int64("incarnation", server.Incarnation), zap.Duration("left", left))
	}
}

// parseMillis returns the time in a header that holds a number of milliseconds with or
// without a fraction, or 0 for any other value. The result has at most one hour.
func parseMillis(s string) time.Duration {
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil || !(ms > 0) { // NaN is not above 0
		return 0
	}
	return time.Duration(min(ms, float64(time.Hour.Milliseconds())) * float64(time.Millisecond))
}

// maxServerRetryAfter bounds the time for which a server can refuse all requests, so
// that a garbled number does not exclude it for good.
const maxServerRetryAfter = 10 * time.Minute

// parseRetryAfter returns the time in a server's Retry-After header, which is a
// number of seconds with or without a fraction. It returns 0 for any other value;
// dates are not supported.
func parseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || !(seconds > 0) { // NaN is not above 0
		return 0
	}
	return time.Duration(min(seconds, maxServerRetryAfter.Seconds()) * float64(time.Second))
}

// earliestRetryAt returns the earliest time at which a server accepts requests
// again, if all servers that may run the request want none at now. Otherwise it
// returns the zero time.
func (e *exchange) earliestRetryAt(now time.Time) (earliest time.Time) {
	for _, s := range e.config.Pool.Service(e.service) {
		if eligible, _ := e.versionChoice.accepts(s.Version); !eligible || !s.Usable() {
			continue
		}
		if s.Accepts(now) {
			return time.Time{}
		}
		if at := s.RetryAt(now); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// reasonForNoServer returns the reason to refuse a request for which no server can
// be chosen and that no server has refused.
func (e *exchange) reasonForNoServer() Reason {
	if e.earliestRetryAt(e.config.Now()).IsZero() {
		return NoServer
	}
	return ServersFull
}

// maxRetryAfterFraction is the largest fraction of the time until a request's
// deadline that its client is told to wait for a server. A later retry would leave
// no time for others, and another instance or a new server may run the request
// sooner.
const maxRetryAfterFraction = 1. / 3

// untilRetry returns how long the client of a refused request should wait if all
// servers want no requests at now, and 0 otherwise.
func (e *exchange) untilRetry(now time.Time) time.Duration {
	at := e.earliestRetryAt(now)
	if at.IsZero() {
		return 0
	}
	limit := time.Duration(maxRetryAfterFraction * float64(e.deadline.Sub(now)))
	return min(at.Sub(now), limit)
}
