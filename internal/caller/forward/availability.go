package forward

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// recordAvailability records what the headers of the response to an attempt say about the
// availability of its server.
func (e *exchange) recordAvailability(a *attempt, r *http.Response, isOwn bool) {
	e.recordServerState(a.server, r, a.sentAt, isOwn)
}

// recordServerState records what the headers of a response to a request that was sent at
// sentAt say about the availability of its server. That it leaves holds whatever request
// the response belongs to. The rest changes, and a late response to another request may be
// out of date.
func (h *Handler) recordServerState(server *pool.Worker, r *http.Response, sentAt time.Time, isOwn bool) {
	if r.Header.Get(h.config.Headers.Leaving) == "1" && server.MarkLeaving() {
		h.config.Log.Info("backend server says that it is leaving", zap.String("server", server.ID),
			zap.String("address", server.Address), zap.Int64("incarnation", server.Incarnation))
	}
	if !isOwn {
		return
	}
	h.recordColdTime(server, r)
	h.recordLimit(server, r, sentAt)
	h.recordBrittle(server, r, sentAt)
	if r.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if wait := parseRetryAfter(r.Header.Get("Retry-After")); wait > 0 {
		server.SetRetryAt(h.config.Now().Add(wait))
	}
}

// recordColdTime records for how long the server says that it stays cold.
func (h *Handler) recordColdTime(server *pool.Worker, r *http.Response) {
	value := r.Header.Get(h.config.Headers.Cold)
	if value == "" {
		return
	}
	now, left := h.config.Now(), parseMillis(value)
	if server.SetColdLeft(left, now) && server.Cold(now) {
		h.config.Log.Info("backend server says that it is cold", zap.String("server", server.ID), zap.Int64("incarnation", server.Incarnation), zap.Duration("left", left))
	}
}

// recordLimit records how many requests the server takes from all instances.
func (h *Handler) recordLimit(server *pool.Worker, r *http.Response, sentAt time.Time) {
	rate, now := parseLimit(r.Header.Get(h.config.Headers.Limit)), time.Now()
	if !server.RecordLimit(rate, now.Add(sentAt.Sub(h.config.Now())), now) {
		return
	}
	h.config.OnLimitChange()
	h.config.Log.Info("limit of backend server changed", zap.String("server", server.ID), zap.Int64("incarnation", server.Incarnation), zap.Float64("per-second", rate))
}

// recordBrittle records whether the servers of a service fall over when they have to reject
// too many requests.
func (h *Handler) recordBrittle(server *pool.Worker, r *http.Response, sentAt time.Time) {
	rejections, err := strconv.ParseFloat(r.Header.Get(h.config.Headers.Brittle), 64)
	if err != nil || !(rejections >= 0) { // false for NaN
		rejections = 0
	} else {
		rejections = min(max(rejections, minBrittle), pacing.MaxRate)
	}
	if server.RecordBrittle(rejections, sentAt) {
		h.config.Log.Info("servers of a service have become brittle or sound again", zap.String("service", server.Service), zap.Float64("rejections-per-second", rejections), zap.String("server", server.ID))
	}
}

// minBrittle stands for a number of rejections of 0, which no pace can be made of.
const minBrittle = 0.1

// minLimit is the rate that stands for a limit of 0, in requests per second.
const minLimit = 1e-3

// parseLimit returns the limit in a header that holds a number of requests per second, or 0
// for any other value.
func parseLimit(s string) float64 {
	rate, err := strconv.ParseFloat(s, 64)
	if err != nil || !(rate >= 0 && rate <= pacing.MaxRate) { // false for NaN
		return 0
	}
	return max(rate, minLimit)
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

// usableAt returns now if one of servers accepts requests, and otherwise the time at which
// the first of them does, or the zero time if that is unknown.
func usableAt(servers []*pool.Worker, now time.Time) (earliest time.Time) {
	for _, s := range servers {
		if s.Accepts(now) {
			return now
		}
		if at := s.RetryAt(now); s.Usable() && at.After(now) && (earliest.IsZero() || at.Before(earliest)) {
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
