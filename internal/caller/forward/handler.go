package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/tcp"
	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/decide/speed"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Handler forwards requests. It is safe for concurrent use.
type Handler struct {
	config  Config
	metrics *metrics
	// baselines are the durations with which the servers' speeds are learnt.
	baselines speed.Baselines
	// requests and responses are the memory for bodies.
	requests, responses *limit.Memory
	// routineLogLimit limits the log lines for requests that were served or that
	// the client abandoned, and failureLogLimit those for other requests.
	routineLogLimit, failureLogLimit limit.Allowance
	waiters                          *waiters
	recentRefusals                   refusalHistory
	serviceTimes                     serviceTimes
	// resendTransport sends requests again to a server that rejected them. Each of them
	// gets a new connection, on which no copy of the rejection can be left.
	resendTransport *http.Transport
	// reach tells whether this instance reaches the servers.
	reach reachability
	// sendingForPeers is the number of requests of other instances in progress.
	sendingForPeers atomic.Int64
}

const (
	// routineLinesPerSecond and failureLinesPerSecond are the rates and bursts of
	// routineLogLimit and failureLogLimit. A line has about 600 bytes. Further
	// lines are only counted.
	routineLinesPerSecond = 20
	failureLinesPerSecond = 200
)

// New returns a Handler. An error means that a metric cannot be registered.
func New(c Config) (*Handler, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.OnLimitChange == nil {
		c.OnLimitChange = func() {}
	}
	if c.MaxResponseBytes == 0 {
		c.MaxResponseBytes = defaultMaxResponse
	}
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	c.MemoryBytes = max(c.MemoryBytes, 2*c.MaxResponseBytes, 2*defaultMaxBody)
	memory := limit.MemoryConfig{Bytes: c.MemoryBytes / 2}
	requests, responses := c.Requests, limit.NewMemory(memory)
	if requests == nil {
		requests = limit.NewMemory(memory)
	}
	h := &Handler{config: c, requests: requests, responses: responses}
	h.waiters = newWaiters(h.waitersConfig())
	h.reach.init()
	h.resendTransport = tcp.NewTransport(tcp.Config{DialTimeout: resendDialTimeout, NewConnPerRequest: true})
	var err error
	if h.metrics, err = h.newMetrics(); err != nil {
		return nil, err
	}
	if c.Registerer != nil {
		if err := c.Registerer.Register(speedCollector{pool: c.Pool, now: c.Now}); err != nil {
			return nil, err
		}
	}
	h.routineLogLimit.Set(routineLinesPerSecond, routineLinesPerSecond, c.Now())
	h.failureLogLimit.Set(failureLinesPerSecond, failureLinesPerSecond, c.Now())
	return h, nil
}

// waitersConfig returns the configuration of the queues for servers.
func (h *Handler) waitersConfig() waitersConfig {
	c := &h.config
	bytes := c.MemoryBytes / 2
	return waitersConfig{
		Limits:   admission.Config{MaxRequests: max(minWaiting, int(bytes/waitingRequestBytes)), MaxBytes: bytes},
		UsableAt: func(service string, now time.Time) time.Time { return usableAt(c.Pool.Service(service), now) },
		Table:    func() *routes.Table { return c.View().Table },
		Stopping: func() bool { return c.Refusing != nil && c.Refusing() },
		Now:      c.Now,
	}
}

// StateChanged lets waiting requests be examined after a change of the servers, of the
// table or of Config.Refusing. It has no effect on a nil Handler.
func (h *Handler) StateChanged() {
	if h != nil {
		h.waiters.checkAll()
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{Handler: h, w: w, r: r, start: h.config.Now(), id: r.Header.Get(h.config.Headers.Request)}
	defer e.finish()
	if h.config.Draining() {
		w.Header().Set("Connection", "close")
	}
	if reason := e.accept(); reason != "" {
		e.fail(reason)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(e.deadline.Sub(h.config.Now())))
	defer cancel()
	if h.config.Ending != nil {
		defer context.AfterFunc(h.config.Ending, cancel)()
	}
	e.run(ctx)
}

// refusedByStop reports whether a planned stop refuses the request, which was not sent yet.
func (e *exchange) refusedByStop() bool {
	return e.config.Refusing != nil && len(e.attempts) == 0 && e.config.Refusing()
}

// interrupted reports whether a planned stop has ended the request.
func (e *exchange) interrupted() bool { return e.config.Ending != nil && e.config.Ending.Err() != nil }

// exchange is one request of a client with its response.
type exchange struct {
	*Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time

	view          View
	route         *routes.Route
	service       string
	versionChoice VersionChoice
	workspace     string
	urgency       int // as of routes.Urgency
	body          body
	held          *limit.Holding // of the request body
	requestURI    string
	prompt        route.Prompt
	suspect       poison.Request // what of the request may crash a server
	onTrial       bool           // the request is blocked, and is sent as a trial
	deadline      time.Time

	allowanceUnits float64 // taken from the workspace's allowance
	admission      limit.Admission
	reason         Reason
	status         int
	firstByte      time.Time // when the first byte of a server's response was written to the client
	attempts       []attempt
	streamStarted  bool // the response headers of a stream were sent
	queueing       queueing
	isRetry        bool // its client retried the request as it was told
	// toldToRetryAfter is the time after which the client of a refused request should
	// retry; 0 if it was told none.
	toldToRetryAfter time.Duration
	retryReserved    bool // the next attempt was withdrawn from the retry budget
	retryUncharged   bool // the next attempt is to be withdrawn from the budget of a new service
	hasYielded       bool // the request waited for more urgent ones as long as it may
	failedOver       bool // an attempt at a silent server was ended for another server
	stream           streamProgress
	usageCounted     bool              // the request was counted in the workspace's usage
	failedResponse   *bufferedResponse // the last server error of an attempt
}

// accept reads and checks the request, picks its service and takes its units from
// the workspace's allowance. It returns the reason to reject the request, or an
// empty Reason after adding the request to the retry budget.
func (e *exchange) accept() Reason {
	c := &e.config
	if e.refusedByStop() {
		return Stopping
	}
	e.view = c.View()
	if e.view.Table == nil {
		return NoConfiguration
	}
	e.requestURI = e.r.RequestURI
	if !strings.HasPrefix(e.requestURI, "/") {
		e.requestURI = e.r.URL.RequestURI() // the request line has an absolute URI
	}
	if !isForwardable(e.requestURI) {
		return MalformedTarget
	}
	var ok bool
	if e.route, ok = e.matchRoute(e.view.Table); !ok {
		if !e.view.Fresh {
			return StaleConfiguration
		}
		return NoRoute
	}
	e.urgency = routes.Urgency(e.route, nil)
	workspace, reason := e.authenticate(e.view, e.route)
	if reason != "" {
		return reason
	}
	e.urgency = routes.Urgency(e.route, workspace)
	if reason := e.readBody(); reason != "" {
		return reason
	}
	e.deadline = e.computeDeadline()
	var shared []uint64
	e.prompt, shared = parsePrompt(e.r.Header.Get(c.Headers.Tokens), e.r.Header.Get(c.Headers.Prefix))
	e.suspect = poison.Request{
		Fingerprint: fingerprint(e.r.Method, e.requestURI, e.r.Header.Get(c.Headers.Key), e.body.pieces...), Parts: shared,
	}
	e.isRetry = e.recentRefusals.retried(e.suspect.Fingerprint, e.start)
	e.pickService()
	if reason := e.checkPoison(); reason != "" {
		return reason
	}
	if workspace != nil {
		e.workspace = workspace.Name
		e.allowanceUnits = allowanceUnits(workspace, e.prompt)
		if e.admission = c.Allowances.Take(e.r.Context(), workspace, limit.Use{Units: e.allowanceUnits, Urgency: e.urgency}); !e.admission.Admitted {
			return OverAllowance
		}
	}
	c.Budget.Deposit(e.service)
	return ""
}

// matchRoute returns the request's route in t.
func (e *exchange) matchRoute(t *routes.Table) (*routes.Route, bool) {
	path, _, _ := strings.Cut(e.requestURI, "?")
	return t.Match(e.r.Host, path)
}

// authenticate returns the workspace of the client's key in v, or nil if the route needs
// no key.
func (e *exchange) authenticate(v View, r *routes.Route) (*routes.Workspace, Reason) {
	if r.Public || !v.Table.KeysRequired {
		return nil, ""
	}
	if !v.Fresh {
		return nil, StaleConfiguration
	}
	w, ok := v.Table.WorkspaceByKey(e.r.Header.Get(e.config.Headers.Key))
	if !ok {
		return nil, UnknownKey
	}
	return w, ""
}

// revalidate checks whether the request crashes servers, and its route and key against
// the current configuration. All of these may have changed since the request was
// accepted. It returns the reason to reject the request, or an empty Reason if it may
// be sent.
func (e *exchange) revalidate() Reason {
	if e.refusedByStop() {
		return Stopping
	}
	if reason := e.checkPoison(); reason != "" {
		return reason
	}
	v := e.config.View()
	r, workspace, reason := e.permission(v)
	if reason != "" {
		return reason
	}
	if e.workspace == "" && workspace != nil {
		e.workspace = workspace.Name // the route has needed a key since the request was accepted
	}
	if v.Table != e.view.Table {
		e.view, e.route, e.urgency = v, r, routes.Urgency(r, workspace)
		if !r.Includes(e.service) {
			e.pickService()
			e.retryReserved, e.retryUncharged = false, e.reachedServer()
		}
	}
	return ""
}

// permission returns the request's route in v and the workspace of its key, which is nil
// if the route needs no key, and the reason to reject the request, or an empty Reason if
// v allows sending it.
func (e *exchange) permission(v View) (*routes.Route, *routes.Workspace, Reason) {
	r, ok := e.matchRoute(v.Table)
	if !ok {
		return nil, nil, NoRoute
	}
	w, reason := e.authenticate(v, r)
	if reason != "" {
		return r, nil, reason
	}
	if w != nil && e.workspace != "" && w.Name != e.workspace {
		return r, nil, UnknownKey
	}
	return r, w, ""
}

func (e *exchange) readBody() Reason {
	maxBytes := e.view.Table.Limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if e.r.ContentLength > maxBytes {
		return BodyTooLarge
	}
	controller := http.NewResponseController(e.w)
	e.held = e.requests.Hold(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }) // ends the read
	var err error
	e.body, err = readBody(http.MaxBytesReader(e.w, e.r.Body, maxBytes), e.r.ContentLength, maxBytes, e.held)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errMemoryFull) || errors.Is(err, connlimit.ErrMemoryFull):
		return MemoryFull
	case errors.Is(err, connlimit.ErrStalled):
		return BodyStalled
	case errors.Is(err, errTooLong) || errors.As(err, &tooLarge):
		return BodyTooLarge
	case e.r.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return ClientLeft
	default:
		return MalformedBody
	}
}

// computeDeadline returns the time by which the client must have a response.
func (e *exchange) computeDeadline() time.Time {
	timeout := time.Duration(0)
	if e.route != nil {
		timeout = e.route.Timeout
	}
	if ms, err := strconv.ParseInt(e.r.Header.Get(e.config.Headers.Remaining), 10, 64); err == nil && ms >= 0 {
		if requested := time.Duration(min(max(ms, 1), maxTimeoutMillis)) * time.Millisecond; timeout <= 0 || requested < timeout {
			timeout = requested
		}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return e.start.Add(timeout)
}

const (
	// defaultTimeout bounds a request if neither its route nor its client does.
	defaultTimeout = time.Minute
	// maxTimeoutMillis bounds the timeout that a client may set, in milliseconds.
	maxTimeoutMillis = 3600 * 1000
)

// pickService chooses the service among those of the route, and its version.
func (e *exchange) pickService() {
	e.service = e.route.Pick(e.config.Random())
	e.versionChoice = e.config.Versions.Choose(e.service, e.route.Name, e.config.Random())
}

// allowanceUnits returns the units that a request takes from its workspace's
// allowance.
func allowanceUnits(w *routes.Workspace, p route.Prompt) float64 {
	switch {
	case !w.Allowance.CountsTokens:
		return 1
	case p.MaxTotalTokens > 0:
		return float64(p.MaxTotalTokens)
	default:
		return w.Allowance.DefaultCost
	}
}

// fail ends the request with an error response of this instance.
func (e *exchange) fail(reason Reason) {
	e.reason = reason
	if reason == ClientLeft || e.streamStarted {
		return
	}
	status, notRun, retry := reason.status()
	header := e.w.Header()
	if e.id != "" {
		header.Set(e.config.Headers.Request, e.id)
	}
	if retry {
		e.toldToRetryAfter = e.retryAfter(reason)
		header.Set("Retry-After", strconv.FormatFloat(e.toldToRetryAfter.Seconds(), 'f', 3, 64))
		e.metrics.refusals.WithLabelValues(string(reason), e.urgencyLabel()).Inc()
	}
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(struct {
		Error  Reason `json:"error"`
		NotRun bool   `json:"not-run"`
	}{reason, notRun})
	if err != nil {
		body = nil // unreachable: encoding a string and a bool cannot fail
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.status = status
	e.w.WriteHeader(status)
	_, _ = e.w.Write(body) // fails only if the client has disconnected
}

// finish records the end of the request in the metrics, in the log and with
// Config.OnRequestEnd. It panics with http.ErrAbortHandler if a stream is incomplete
// or nothing was written, since net/http would then send an empty success.
func (e *exchange) finish() {
	e.leaveQueue(waitRefused)
	e.held.Release()
	e.releaseFailedResponse()
	now := e.config.Now()
	kind := "none"
	if e.route != nil {
		kind = e.route.Kind.String()
	}
	e.metrics.requests.WithLabelValues(kind, string(e.reason)).Inc()
	if !e.firstByte.IsZero() {
		e.metrics.firstByte.WithLabelValues(kind).Observe(e.firstByte.Sub(e.start).Seconds())
	}
	e.metrics.duration.WithLabelValues(kind).Observe(now.Sub(e.start).Seconds())
	e.log(now)
	e.reportResult()
	if e.streamStarted && e.reason != Served || e.status == 0 {
		// Close the connection without the end of the body, so that the client
		// detects that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// reportResult reports the result to Config.OnRequestEnd, if that is set.
func (e *exchange) reportResult() {
	if e.config.OnRequestEnd == nil {
		return
	}
	result := Result{Workspace: e.workspace, Reason: e.reason, Failed: e.status >= http.StatusInternalServerError}
	if e.route != nil {
		result.Route = e.route.Name
		result.Late = e.route.Objective > 0 && e.firstByte.Sub(e.start) > e.route.Objective
	}
	e.config.OnRequestEnd(result)
}
