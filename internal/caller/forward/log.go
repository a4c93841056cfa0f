package forward

import (
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// mayLog reports whether a limiter permits a line of a kind, and counts it if not.
func (h *Handler) mayLog(limiter *limit.Allowance, kind string, now time.Time) bool {
	if limiter.Wait(1, now) > 0 {
		h.metrics.omitted.WithLabelValues(kind).Inc()
		return false
	}
	limiter.Spend(1, now)
	return true
}

// log writes one line with the request's result and the reasons for it, unless
// the rate limit for such lines is exceeded.
func (e *exchange) log(now time.Time) {
	limiter, kind := &e.failureLogLimit, "failed"
	if e.reason == Served || e.reason == ClientLeft {
		limiter, kind = &e.routineLogLimit, "routine"
	}
	if !e.mayLog(limiter, kind, now) {
		return
	}
	fields := make([]zap.Field, 0, 16)
	fields = append(fields, zap.String("request", e.id), zap.String("reason", string(e.reason)), zap.Int("status", e.status),
		zap.Duration("took", now.Sub(e.start)))
	if e.view.Table != nil {
		fields = append(fields, zap.Int64("configuration", e.view.Table.Version), zap.Duration("confirmed-before", e.start.Sub(e.view.Confirmed)))
	}
	if e.route != nil {
		fields = append(fields, zap.String("route", e.route.Name), zap.String("service", e.service), zap.String("workspace", e.workspace),
			zap.Duration("time-limit", e.deadline.Sub(e.start)))
	}
	if e.versionChoice.Move != "" {
		fields = append(fields, zap.String("move", e.versionChoice.Move), zap.Bool("new-version", e.versionChoice.UseNewVersion), zap.Uint8("step", e.versionChoice.Step))
	}
	if domains := e.config.Pool.EvacuatedDomains().Domains(); len(domains) > 0 && e.reason != Served {
		fields = append(fields, zap.Strings("evacuated", domains))
	}
	if e.reason == OverAllowance {
		fields = append(fields, zap.Float64("units", e.allowanceUnits), zap.Duration("admitted-after", e.admission.RetryAfter),
			zap.String("decided-by", e.admission.DecidedBy), zap.String("used-up", e.admission.ExhaustedLimit))
	}
	if e.toldToRetryAfter > 0 {
		request := e.admissionRequest()
		fields = append(fields, zap.Int("urgency", e.urgency), zap.Duration("slack", request.Slack(now)), zap.Duration("retry-after", e.toldToRetryAfter))
	}
	if e.queueing.hasWaited {
		fields = append(fields, zap.Duration("queued-for", e.queueing.total), zap.Int("queue-position", e.queueing.position))
	}
	if !e.firstByte.IsZero() {
		fields = append(fields, zap.Duration("first-byte", e.firstByte.Sub(e.start)), zap.String("last-event", e.stream.lastID))
	}
	if len(e.attempts) > 0 {
		fields = append(fields, zap.Objects("sends", e.attempts))
	}
	e.config.Log.Info("request ended", fields...)
}
