package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/backlog"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// claimTimeout limits a call to a tracker, which responds within a few
	// milliseconds. A request waits for it, so it is far below any objective.
	claimTimeout = 30 * time.Millisecond
	// avoidPeriod is how long a tracker is not asked after a call to it failed.
	avoidPeriod = time.Second
	// reportDelay is the time for which reports are collected before they are sent.
	reportDelay = 20 * time.Millisecond
	// reportTimeout limits a report.
	reportTimeout = 500 * time.Millisecond
	// maxReports bounds the reports that wait to be sent; claims whose reports are
	// dropped expire at the tracker.
	maxReports = 4096
	// expiryPeriod is the time between two removals of expired claims.
	expiryPeriod = time.Second
)

var (
	errs = errorx.NewNamespace("claim")
	// NoTracker is the type of errors for servers whose tracker cannot be asked.
	NoTracker = errs.NewType("no-tracker")
	// CallFailed is the type of errors from calls to trackers.
	CallFailed = errs.NewType("call-failed")
)

// Server identifies a process of a backend server and its failure domain.
type Server struct{ Process, FailureDomain string }

// Config configures a Client. All fields but Registerer are required.
type Config struct {
	Instance string
	// Enabled reports whether servers are tracked.
	Enabled func() bool
	// Tracker returns the ID of the instance that tracks a server, or "" if there is
	// none.
	Tracker func(Server) string
	// Claim and Progress call another instance.
	Claim    func(ctx context.Context, instance string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error)
	Progress func(ctx context.Context, instance string, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error)
	// Now reads the boot clock.
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Client makes claims for an instance, and serves those of others on the servers that the
// instance tracks. Its methods are safe for concurrent use.
type Client struct {
	config Config
	ledger backlog.Ledger
	claims *prometheus.CounterVec

	// reported signals that reports wait to be sent.
	reported chan struct{}

	mu         sync.Mutex
	avoidUntil map[string]time.Time // by instance
	reports    map[string][]*peerpb.Progress
	waiting    int // reports
}

// New returns a Client. An error means that a metric cannot be registered.
func New(c Config) (*Client, error) {
	l := &Client{config: c, avoidUntil: make(map[string]time.Time), reports: make(map[string][]*peerpb.Progress), reported: make(chan struct{}, 1),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "server_claims_total", Help: "Claims on backend servers by outcome: added, busy, failed if the tracker did not respond, or untracked if there is none.",
		}, []string{"outcome"}),
	}
	if c.Registerer == nil {
		return l, nil
	}
	tracked := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "server_claims_tracked", Help: "Claims on the backend servers that this instance tracks.",
	}, func() float64 { return float64(l.ledger.Len()) })
	if err := c.Registerer.Register(tracked); err != nil {
		return nil, err
	}
	return l, c.Registerer.Register(l.claims)
}

// Enabled reports whether servers are tracked.
func (l *Client) Enabled() bool { return l.config.Enabled() }

// Claim is a claim that was added. Its methods report to the tracker without blocking.
type Claim struct {
	client  *Client
	tracker string
	server  string
	request uint64
}

// Request describes a request for which a place is claimed.
type Request struct {
	// Tokens is the number of prompt tokens that the server will have to process.
	Tokens int64
	// Prefix identifies the shared parts of the prompt; 0 if there are none.
	Prefix uint64
	// Deadline is when the request ends at the latest.
	Deadline time.Time
}

// Add claims a place for a request at a server if the backlog of the earlier claims is
// within limit. It returns what the tracker knew before, and nil if the claim was not
// added.
func (l *Client) Add(ctx context.Context, s Server, r Request, limit backlog.Backlog) (earlier backlog.Reading, c *Claim, err error) {
	earlier, c, err = l.add(ctx, s, r, limit)
	outcome := "added"
	switch {
	case errorx.IsOfType(err, NoTracker):
		outcome = "untracked"
	case err != nil:
		outcome = "failed"
	case c == nil:
		outcome = "busy"
	}
	l.claims.WithLabelValues(outcome).Inc()
	return earlier, c, err
}

func (l *Client) add(ctx context.Context, s Server, r Request, limit backlog.Backlog) (backlog.Reading, *Claim, error) {
	now := l.config.Now()
	c := &Claim{client: l, tracker: l.config.Tracker(s), server: s.Process, request: rand.Uint64()}
	if c.tracker == l.config.Instance {
		earlier, added := l.ledger.Add(backlog.Claim{Server: s.Process, Request: c.request, Tokens: r.Tokens, Prefix: r.Prefix, Deadline: r.Deadline}, limit, now)
		return earlier, c.ifAdded(added), nil
	}
	if c.tracker == "" || l.avoids(c.tracker, now) {
		return backlog.Reading{}, nil, NoTracker.New("tracker of %s is unknown or did not respond", s.Process)
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := l.config.Claim(callCtx, c.tracker, &peerpb.ClaimRequest{
		Server: s.Process, Request: c.request, Tokens: r.Tokens, MaxPending: limit.Pending, MaxRunning: limit.Running, Prefix: r.Prefix,
		Lifetime: r.Deadline.Sub(now).Milliseconds(),
	})
	if err != nil {
		if ctx.Err() == nil {
			l.avoid(c.tracker, now)
		}
		// The tracker may have added the claim although its reply is lost.
		c.End()
		return backlog.Reading{}, nil, CallFailed.Wrap(err, "claim on %s", s.Process)
	}
	earlier := backlog.Reading{
		Backlog: backlog.Backlog{Pending: max(0, reply.GetPending()), Running: max(0, reply.GetRunning())}, Cached: reply.GetCached(), Holder: reply.GetHolder(),
	}
	return earlier, c.ifAdded(reply.GetAdded()), nil
}

// ifAdded returns c if added is true, and nil otherwise.
func (c *Claim) ifAdded(added bool) *Claim {
	if added {
		return c
	}
	return nil
}

func (l *Client) avoids(instance string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.avoidUntil[instance]
	if ok && !now.Before(until) {
		delete(l.avoidUntil, instance)
	}
	return now.Before(until)
}

func (l *Client) avoid(instance string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil[instance] = now.Add(avoidPeriod)
}

// Processed reports that the server has processed the prompt. A nil Claim reports nothing.
func (c *Claim) Processed() {
	switch {
	case c == nil:
	case c.tracker == c.client.config.Instance:
		c.client.ledger.Processed(c.server, c.request)
	default:
		c.client.report(c.tracker, &peerpb.Progress{Server: c.server, Request: c.request})
	}
}

// End reports that the request has ended. A nil Claim reports nothing.
func (c *Claim) End() {
	switch {
	case c == nil:
	case c.tracker == c.client.config.Instance:
		c.client.ledger.End(c.server, c.request)
	default:
		c.client.report(c.tracker, &peerpb.Progress{Server: c.server, Request: c.request, Ended: true})
	}
}

// ReportHolder reports to the tracker of s that a request with a prefix was sent to another server.
func (l *Client) ReportHolder(s Server, prefix uint64, holder string) {
	switch tracker := l.config.Tracker(s); tracker {
	case "":
	case l.config.Instance:
		l.ledger.SetHolder(s.Process, prefix, holder, l.config.Now())
	default:
		l.report(tracker, &peerpb.Progress{Server: s.Process, Prefix: prefix, Holder: holder})
	}
}

func (l *Client) report(instance string, p *peerpb.Progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= maxReports {
		return
	}
	l.waiting++
	l.reports[instance] = append(l.reports[instance], p)
	select {
	case l.reported <- struct{}{}:
	default:
	}
}

// Run sends the reports and removes expired claims until ctx ends.
func (l *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { wait.Every(ctx, expiryPeriod, func() { l.ledger.Expire(l.config.Now()) }) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.reported:
		}
		wait.For(ctx, reportDelay)
		for instance, progress := range l.takeReports() {
			wg.Go(func() { l.send(ctx, instance, progress) })
		}
	}
}

func (l *Client) takeReports() map[string][]*peerpb.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == 0 {
		return nil
	}
	reports := l.reports
	l.reports, l.waiting = make(map[string][]*peerpb.Progress, len(reports)), 0
	return reports
}

// send sends reports to a tracker. If that fails, the claims expire there.
func (l *Client) send(ctx context.Context, instance string, progress []*peerpb.Progress) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, _ = l.config.Progress(ctx, instance, &peerpb.ProgressRequest{Progress: progress})
}

// ServeClaim adds a claim of a peer.
func (l *Client) ServeClaim(_ context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	now := l.config.Now()
	earlier, added := l.ledger.Add(
		backlog.Claim{Server: r.GetServer(), Request: r.GetRequest(), Tokens: r.GetTokens(), Prefix: r.GetPrefix(), Deadline: now.Add(lifetime(r.GetLifetime()))},
		backlog.Backlog{Pending: r.GetMaxPending(), Running: r.GetMaxRunning()}, now)
	return &peerpb.ClaimReply{Added: added, Pending: earlier.Pending, Running: earlier.Running, Cached: earlier.Cached, Holder: earlier.Holder}, nil
}

// lifetime returns a number of milliseconds from a peer as a duration of up to an hour.
func lifetime(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), time.Hour.Milliseconds())) * time.Millisecond
}

// ServeProgress records what a peer reports of its claims.
func (l *Client) ServeProgress(_ context.Context, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
	for _, p := range r.GetProgress() {
		switch {
		case p.GetPrefix() != 0:
			l.ledger.SetHolder(p.GetServer(), p.GetPrefix(), p.GetHolder(), l.config.Now())
		case p.GetEnded():
			l.ledger.End(p.GetServer(), p.GetRequest())
		default:
			l.ledger.Processed(p.GetServer(), p.GetRequest())
		}
	}
	return &peerpb.ProgressReply{}, nil
}
