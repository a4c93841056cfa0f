package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Handler forwards requests. It is safe for concurrent use.
type Handler struct {
	config  Config
	metrics *metrics
	// routine and failures are the lines that may be written for requests that
	// were served and that were not.
	routine, failures limit.Allowance
}

const (
	// routineLines and failureLines are the lines a second for requests that
	// were served and that were not, at some 600 bytes each. More are counted.
	routineLines = 20
	failureLines = 200
)

// New returns a handler.
func New(c Config) (*Handler, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	m, err := newMetrics(c.Registerer)
	if err != nil {
		return nil, err
	}
	h := &Handler{config: c, metrics: m}
	h.routine.Set(routineLines, routineLines, c.Now())
	h.failures.Set(failureLines, failureLines, c.Now())
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{Handler: h, w: w, r: r, start: h.config.Now(), id: r.Header.Get(h.config.Headers.Request)}
	defer e.close()
	if h.config.Draining() {
		w.Header().Set("Connection", "close")
	}
	if reason := e.accept(); reason != "" {
		e.refuse(reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(e.deadline.Sub(h.config.Now())))
	defer cancel()
	e.run(ctx)
}

// exchange is one request with its answer.
type exchange struct {
	*Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time

	view        View
	route       *routes.Route
	service     string
	choice      Choice
	workspace   string
	body        []byte
	target      string
	prompt      route.Prompt
	fingerprint uint64
	deadline    time.Time

	units     float64 // of the workspace's allowance
	admission limit.Admission
	reason    Reason
	status    int
	first     time.Time // first byte of the answer to the client
	sends     []send
	streaming bool // the client has the head of a stream
	stream    progress
	began     bool       // counted as usage
	held      *collected // a failure that a server answered with
}

// accept reads and checks the request. It returns the reason to refuse it, or
// none.
func (e *exchange) accept() Reason {
	c := &e.config
	e.view = c.View()
	if e.view.Table == nil {
		return NoTable
	}
	e.target = e.r.RequestURI
	if !strings.HasPrefix(e.target, "/") {
		e.target = e.r.URL.RequestURI() // absolute form
	}
	var ok bool
	if e.route, ok = e.match(e.view.Table); !ok {
		if !e.view.Fresh {
			return StaleTable
		}
		return NoRoute
	}
	workspace, reason := e.authenticate()
	if reason != "" {
		return reason
	}
	if reason := e.readBody(); reason != "" {
		return reason
	}
	e.deadline = e.limit()
	e.prompt = parsePrompt(e.r.Header.Get(c.Headers.Tokens), e.r.Header.Get(c.Headers.Prefix))
	e.fingerprint = fingerprint(e.r.Method, e.target, e.r.Header.Get(c.Headers.Key), e.body)
	e.pick()
	if !c.Poison.Allowed(e.fingerprint) {
		return PoisonRequest
	}
	if workspace != nil {
		e.workspace = workspace.Name
		e.units = units(workspace, e.prompt)
		if e.admission = c.Allowances.Take(e.r.Context(), workspace, e.units); !e.admission.Admitted {
			return OverAllowance
		}
	}
	c.Budget.Deposit(e.service)
	return ""
}

// match returns the request's route in a table.
func (e *exchange) match(t *routes.Table) (*routes.Route, bool) {
	path, _, _ := strings.Cut(e.target, "?")
	return t.Match(e.r.Host, path)
}

// authenticate returns the workspace of the client's key, or none on a public
// route.
func (e *exchange) authenticate() (*routes.Workspace, Reason) {
	if e.route.Public || len(e.view.Table.Workspaces) == 0 {
		return nil, ""
	}
	if !e.view.Fresh {
		return nil, StaleTable
	}
	w, ok := e.view.Table.WorkspaceByKey(e.r.Header.Get(e.config.Headers.Key))
	if !ok {
		return nil, BadKey
	}
	return w, ""
}

// allowed reports whether the request may still be sent: its key and route are
// those of a configuration that was confirmed lately.
func (e *exchange) allowed() Reason {
	v := e.config.View()
	if v.Table != e.view.Table {
		r, ok := e.match(v.Table)
		if !ok {
			return NoRoute
		}
		e.view, e.route = v, r
		e.pick()
	}
	if e.workspace == "" {
		return ""
	}
	if !v.Fresh {
		return StaleTable
	}
	if w, ok := v.Table.WorkspaceByKey(e.r.Header.Get(e.config.Headers.Key)); !ok || w.Name != e.workspace {
		return BadKey
	}
	return ""
}

func (e *exchange) readBody() Reason {
	most := e.view.Table.Limits.BodyBytes
	if most <= 0 {
		most = maxBody
	}
	if e.r.ContentLength > most {
		return TooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return TooLarge
	case err != nil:
		return ClientLeft
	}
	e.body = body
	return ""
}

// limit returns when the request must be answered.
func (e *exchange) limit() time.Time {
	patience := e.route.Patience
	if ms, err := strconv.ParseInt(e.r.Header.Get(e.config.Headers.Remaining), 10, 64); err == nil && ms >= 0 {
		if own := time.Duration(min(ms, maxWaitMs)) * time.Millisecond; patience <= 0 || own < patience {
			patience = own
		}
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	return e.start.Add(patience)
}

const (
	// defaultPatience bounds a request where neither route nor client does.
	defaultPatience = time.Minute
	// maxWaitMs bounds what a client may ask for, in milliseconds.
	maxWaitMs = 3600 * 1000
)

// pick chooses the service and its version.
func (e *exchange) pick() {
	e.service = e.route.Pick(e.config.Random())
	e.choice = e.config.Versions.Choose(e.service, e.config.Random())
}

// units returns what a request uses of its workspace's allowance.
func units(w *routes.Workspace, p route.Prompt) float64 {
	switch {
	case !w.Allowance.Tokens:
		return 1
	case p.Total > 0:
		return float64(p.Total)
	default:
		return w.Allowance.Plain
	}
}

// refuse answers the request without, or in place of, a server's answer.
func (e *exchange) refuse(reason Reason) {
	e.reason = reason
	if reason == ClientLeft || e.streaming {
		return
	}
	status, notRun, after := reason.status()
	if reason == OverAllowance {
		after = max(e.admission.RetryAfter, minRetryAfter)
	}
	header := e.w.Header()
	if e.id != "" {
		header.Set(e.config.Headers.Request, e.id)
	}
	if notRun && after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(struct {
		Error  Reason `json:"error"`
		NotRun bool   `json:"not-run"`
	}{reason, notRun})
	if err != nil {
		body = nil // a string and a bool always encode
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.status = status
	e.w.WriteHeader(status)
	_, _ = e.w.Write(body) // the client has left if this fails
}

// close records the end of the request.
func (e *exchange) close() {
	now := e.config.Now()
	class := "none"
	if e.route != nil {
		class = e.route.Kind.String()
	}
	e.metrics.requests.WithLabelValues(class, string(e.reason)).Inc()
	if !e.first.IsZero() {
		e.metrics.first.WithLabelValues(class).Observe(e.first.Sub(e.start).Seconds())
	}
	e.metrics.duration.WithLabelValues(class).Observe(now.Sub(e.start).Seconds())
	e.log(now)
	e.tell()
	if e.streaming && e.reason != Served {
		// The connection ends without the end of the body, so that the client
		// sees that the stream is not whole.
		panic(http.ErrAbortHandler)
	}
}

// tell reports how the request ended.
func (e *exchange) tell() {
	if e.config.Ended == nil {
		return
	}
	v := Ended{Workspace: e.workspace, Reason: e.reason, Failed: e.status >= http.StatusInternalServerError}
	if e.route != nil {
		v.Route = e.route.Name
		v.Late = e.route.Objective > 0 && e.first.Sub(e.start) > e.route.Objective
	}
	e.config.Ended(v)
}

type metrics struct {
	requests, sends *prometheus.CounterVec
	omitted         *prometheus.CounterVec
	first, duration *prometheus.HistogramVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 14)
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_requests_total", Help: "Requests by kind of route and reason of their end."}, []string{"kind", "reason"}),
		sends:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_sends_total", Help: "Requests sent to backend servers by outcome."}, []string{"outcome"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_first_byte_seconds", Help: "Time to the first byte of a server's answer.", Buckets: buckets}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_duration_seconds", Help: "Time to the end of a request.", Buckets: buckets}, []string{"kind"}),
		omitted:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_log_lines_omitted_total", Help: "Lines for requests left out beyond the budget of lines."}, []string{"kind"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.requests, m.sends, m.omitted, m.first, m.duration} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// log writes one line for the request with what decided it, as long as its
// kind has lines left.
func (e *exchange) log(now time.Time) {
	budget, kind := &e.failures, "failed"
	if e.reason == Served || e.reason == ClientLeft {
		budget, kind = &e.routine, "routine"
	}
	if budget.Wait(1, now) > 0 {
		e.metrics.omitted.WithLabelValues(kind).Inc()
		return
	}
	budget.Spend(1, now)
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
	if e.choice.Move != "" {
		fields = append(fields, zap.String("move", e.choice.Move), zap.Bool("new-version", e.choice.New), zap.Uint8("step", e.choice.Step))
	}
	if e.reason == OverAllowance {
		fields = append(fields, zap.Float64("units", e.units), zap.Duration("retry-after", e.admission.RetryAfter),
			zap.String("decided-by", e.admission.By), zap.String("used-up", e.admission.Bound))
	}
	if !e.first.IsZero() {
		fields = append(fields, zap.Duration("first-byte", e.first.Sub(e.start)), zap.String("last-event", e.stream.last))
	}
	if len(e.sends) > 0 {
		fields = append(fields, zap.Objects("sends", e.sends))
	}
	e.config.Log.Info("request ended", fields...)
}
