package connlimit

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Reason is why a connection was closed or a request refused. It is a label of a counter
// and a field of log lines.
type Reason string

// Reasons to close a connection or to refuse a request.
const (
	// TooManyConnections means that no connection could be closed in place of the new one.
	TooManyConnections Reason = "too-many-connections"
	// TooManyFromAddress means that too many connections came from one address.
	TooManyFromAddress Reason = "too-many-from-address"
	// SlowHead, LongestIdle and SlowBody mean that the connection made room for another:
	// its head was not complete, it was idle or silent, or its body came slowly.
	SlowHead    Reason = "slow-head"
	LongestIdle Reason = "longest-idle"
	SlowBody    Reason = "slow-body"
	// HeadTooLarge and HeadTooManyLines mean that a head exceeds the limits.
	HeadTooLarge     Reason = "head-too-large"
	HeadTooManyLines Reason = "head-too-many-lines"
	// HeadTimeout means that a head was not complete in time.
	HeadTimeout Reason = "head-timeout"
	// MemoryFull means that the instance had no memory left for the head.
	MemoryFull Reason = "memory-full"
	// BodyStalled means that the client sent nothing of a body for too long.
	BodyStalled Reason = "body-stalled"
	// WriteStalled means that the client took nothing of a response for too long.
	WriteStalled Reason = "write-stalled"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	TooManyConnections, TooManyFromAddress, SlowHead, LongestIdle, SlowBody, HeadTooLarge, HeadTooManyLines, HeadTimeout, MemoryFull, BodyStalled, WriteStalled,
}

// retryAfter is the time after which a client should retry a request that was refused for
// lack of memory, in seconds.
const retryAfter = "0.300"

// response returns the status of the response to a refused request, and its Retry-After
// header line, if any. The request has not run.
func (r Reason) response() (status int, header string) {
	switch r {
	case HeadTooLarge, HeadTooManyLines:
		return http.StatusRequestHeaderFieldsTooLarge, ""
	case HeadTimeout:
		return http.StatusRequestTimeout, ""
	default:
		return http.StatusServiceUnavailable, "Retry-After: " + retryAfter + "\r\n"
	}
}

// writeTo refuses a request whose head is complete for lack of memory.
func (r Reason) writeTo(w http.ResponseWriter) {
	status, _ := r.response()
	w.Header().Set("Retry-After", retryAfter)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// ReportConfig configures a Report.
type ReportConfig struct {
	Registerer prometheus.Registerer
	Log        *zap.Logger
	Now        func() time.Time
}

// Report counts what the groups of an instance close and refuse, and logs it.
type Report struct {
	config ReportConfig
	events *prometheus.CounterVec
	open   *openConnections

	mu    sync.Mutex
	lines map[line]*lineState
}

// line identifies the log lines of one kind.
type line struct {
	listener string
	reason   Reason
}

// lineState is the next time at which a line may be logged, and the events since the last.
type lineState struct {
	next   time.Time
	events int
}

// logInterval is the least time between two log lines of one listener and reason. An attack
// adds to the count in a line and not to the number of lines.
const logInterval = 10 * time.Second

// NewReport returns a Report. An error means that a metric cannot be registered.
func NewReport(c ReportConfig) (*Report, error) {
	r := &Report{config: c, open: new(openConnections), lines: make(map[line]*lineState), events: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "connections_limited_total", Help: "Connections that were closed and requests that were refused because of a limit on connections.",
	}, []string{"listener", "reason"})}
	for _, x := range []prometheus.Collector{r.events, r.open} {
		if err := c.Registerer.Register(x); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// add adds a group to the report.
func (r *Report) add(g *Group) {
	if r != nil {
		r.open.add(g)
	}
}

// count counts an event, and logs a line if there was none of its kind for logInterval.
func (r *Report) count(listener string, reason Reason) {
	if r == nil {
		return
	}
	r.events.WithLabelValues(listener, string(reason)).Inc()
	if events := r.due(line{listener, reason}); events > 0 {
		r.config.Log.Warn("connections limited", zap.String("listener", listener), zap.String("reason", string(reason)), zap.Int("count", events))
	}
}

// due counts an event and returns the number of events that a line reports now, or 0 if
// no line is due.
func (r *Report) due(l line) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.lines[l]
	if s == nil {
		s = new(lineState)
		r.lines[l] = s
	}
	s.events++
	now := r.config.Now()
	if now.Before(s.next) {
		return 0
	}
	events := s.events
	s.events, s.next = 0, now.Add(logInterval)
	return events
}

// openConnections is the gauge of the open connections of all groups.
type openConnections struct {
	mu     sync.Mutex
	groups []*Group
}

var openDescription = prometheus.NewDesc("connections_open", "Open connections by listener.", []string{"listener"}, nil)

func (o *openConnections) add(g *Group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.groups = append(o.groups, g)
}

// Describe implements prometheus.Collector.
func (o *openConnections) Describe(c chan<- *prometheus.Desc) { c <- openDescription }

// Collect implements prometheus.Collector.
func (o *openConnections) Collect(c chan<- prometheus.Metric) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.groups {
		c <- prometheus.MustNewConstMetric(openDescription, prometheus.GaugeValue, float64(g.Open()), g.config.Listener)
	}
}
