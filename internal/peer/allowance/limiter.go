package allowance

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// askTimeout limits a call to the owner, which is in the same failure domain
	// and responds within milliseconds, or borrows units first.
	askTimeout = 150 * time.Millisecond
	// silentAvoidPeriod is how long an instance is not asked after a call to it timed
	// out, and failedAvoidPeriod the same after a call failed at once, as while the
	// instance restarts.
	silentAvoidPeriod = time.Second
	failedAvoidPeriod = 250 * time.Millisecond
	// forgetPeerAfter is how long after the last call to an instance its outcome is
	// remembered.
	forgetPeerAfter = time.Minute
	// maxOwnersAsked is the maximum number of instances asked for one request.
	maxOwnersAsked = 2
)

var (
	errs = errorx.NewNamespace("allowance")
	// UnknownWorkspace is the type of errors for workspaces that are not in the
	// owner's table.
	UnknownWorkspace = errs.NewType("unknown-workspace")
	// InvalidUnits is the type of errors for units that are negative, infinite or
	// not a number.
	InvalidUnits = errs.NewType("invalid-units")
)

// Fleet describes the instances that share the allowances, as this instance
// sees them.
type Fleet struct {
	// Instances is the number of instances.
	Instances int
	// Local are the IDs of the live instances in the same failure domain,
	// including this one.
	Local []string
	// Remote are the IDs of the live instances in each other failure domain that
	// this instance is in contact with.
	Remote [][]string
}

// isIsolated reports whether the instance has lost contact with all others. It then
// takes itself for the owner of all workspaces.
func (f *Fleet) isIsolated() bool {
	return f.Instances > 1 && len(f.Local) <= 1 && len(f.Remote) == 0
}

// Request is a request to the owner of a workspace's allowance. An empty use takes
// nothing.
type Request struct {
	Workspace string
	Use       limit.Use
	// Contribution are units that the sender gives to the owner, and Borrow the
	// units that it asks the owner to give.
	Contribution, Borrow float64
}

// Reply is the reply to a Request.
type Reply struct {
	Admission limit.Admission
	// Granted are the units that the owner gives to the sender.
	Granted float64
}

// Config configures a Limiter. The fields up to Now are required.
type Config struct {
	Instance string
	// Slack is what all instances together may admit beyond an allowance, in units.
	Slack float64
	Fleet func() Fleet
	Table func() *routes.Table
	// Ask sends a request to another instance.
	Ask func(ctx context.Context, instance string, r Request) (Reply, error)
	// Now reads the boot clock.
	Now func() time.Time
	// Random returns a number between 0 and 1; default rand.Float64.
	Random     func() float64
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Limiter admits uses of allowances. Its methods are safe for concurrent use.
type Limiter struct {
	config  Config
	start   time.Time
	fleet   atomic.Pointer[Fleet]
	metrics *metrics

	mu     sync.Mutex
	states map[string]*workspaceState
	// peers holds the outcome of the last call to each instance, by ID.
	peers map[string]outcome
}

// outcome describes the outcome of the last call to an instance.
type outcome struct {
	hasReplied bool
	avoidUntil time.Time // time before which the instance is not asked
	forgetAt   time.Time
}

// New returns a limiter. The caller must call Refresh every RefreshPeriod, and
// Collect every CollectPeriod.
func New(c Config) (*Limiter, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	l := &Limiter{
		config: c, start: c.Now(), metrics: newMetrics(), states: make(map[string]*workspaceState), peers: make(map[string]outcome),
	}
	if c.Registerer == nil {
		return l, nil
	}
	return l, l.metrics.register(c.Registerer)
}

// Take uses units of a workspace's allowance if they are available, and
// otherwise returns when to retry.
func (l *Limiter) Take(ctx context.Context, w *routes.Workspace, u limit.Use) limit.Admission {
	if w.Allowance.Rate <= 0 {
		return limit.Admission{Admitted: true}
	}
	a := l.decide(ctx, w, u)
	by, _, _ := strings.Cut(a.DecidedBy, " ")
	l.metrics.countDecision(by, a.Admitted, u.Urgency)
	return a
}

func (l *Limiter) decide(ctx context.Context, w *routes.Workspace, u limit.Use) limit.Admission {
	for _, owner := range l.owners(w) {
		if owner == l.config.Instance && l.knownFleet().isIsolated() {
			break
		}
		if owner == l.config.Instance {
			l.setAlone(w, false)
			return l.decideAsOwner(ctx, w, u)
		}
		r := Request{Workspace: w.Name, Use: u, Contribution: l.contribution(w, owner)}
		if reply, err := l.ask(ctx, owner, askTimeout, r); err == nil {
			l.setAlone(w, false)
			reply.Admission.DecidedBy = "peer " + owner
			return reply.Admission
		}
	}
	if ctx.Err() == nil {
		l.setAlone(w, true)
	}
	return l.decideAlone(w, u)
}

// Serve handles, as the owner of a workspace's allowance, a request of a peer.
func (l *Limiter) Serve(ctx context.Context, r Request) (Reply, error) {
	for _, units := range []float64{r.Use.Units, r.Contribution, r.Borrow} {
		if !(units >= 0) || math.IsInf(units, 0) {
			return Reply{}, InvalidUnits.New("use of %v, contribution of %v, loan of %v units", r.Use.Units, r.Contribution, r.Borrow)
		}
	}
	t := l.config.Table()
	if t == nil {
		return Reply{}, UnknownWorkspace.New("no table yet")
	}
	w, known := t.Workspace(r.Workspace)
	if !known {
		return Reply{}, UnknownWorkspace.New("workspace %q is not in table %d", r.Workspace, t.Version)
	}
	if w.Allowance.Rate <= 0 {
		return Reply{Admission: limit.Admission{Admitted: true}}, nil
	}
	var reply Reply
	reply.Granted = l.transfer(w, r)
	reply.Admission.Admitted = true
	if r.Use.Units > 0 {
		reply.Admission = l.decideAsOwner(ctx, w, r.Use)
	}
	return reply, nil
}

// knownFleet returns the fleet as of the last Refresh. Before the first one it asks: an
// instance that takes itself for the only one accrues the whole allowance alone.
func (l *Limiter) knownFleet() *Fleet {
	if f := l.fleet.Load(); f != nil {
		return f
	}
	f := l.config.Fleet()
	l.fleet.CompareAndSwap(nil, &f)
	return l.fleet.Load()
}

// owners returns the instances to ask, starting with the owner.
func (l *Limiter) owners(w *routes.Workspace) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	return l.reachable(l.state(w, now).owners, maxOwnersAsked, now)
}

// reachable returns the first n of candidates, without those to which a call failed
// recently.
func (l *Limiter) reachable(candidates []string, n int, now time.Time) []string {
	reachable := make([]string, 0, n)
	for _, id := range candidates {
		if len(reachable) == n {
			break
		}
		if !now.Before(l.peers[id].avoidUntil) {
			reachable = append(reachable, id)
		}
	}
	return reachable
}

// ask sends a request to another instance. An instance whose call fails is not asked
// for a while, unless the call failed because ctx ended.
func (l *Limiter) ask(ctx context.Context, instance string, timeout time.Duration, r Request) (Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := l.config.Ask(callCtx, instance, r)
	if !(reply.Granted >= 0 && reply.Granted <= r.Borrow) {
		reply.Granted = 0
	}
	if err != nil && ctx.Err() != nil {
		return reply, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	previous := l.peers[instance]
	if err == nil {
		l.peers[instance] = outcome{hasReplied: true, forgetAt: now.Add(forgetPeerAfter)}
		return reply, nil
	}
	avoidPeriod := failedAvoidPeriod
	if callCtx.Err() != nil {
		avoidPeriod = silentAvoidPeriod
	}
	l.peers[instance] = outcome{avoidUntil: now.Add(avoidPeriod), forgetAt: now.Add(forgetPeerAfter)}
	if previous.hasReplied {
		l.config.Log.Info("request to allowance owner failed", zap.String("peer", instance), zap.String("workspace", r.Workspace), zap.Error(err))
	}
	return reply, err
}

// decideAsOwner decides on a use with the units of the failure domain, and borrows
// units of other failure domains if these do not suffice.
func (l *Limiter) decideAsOwner(ctx context.Context, w *routes.Workspace, u limit.Use) limit.Admission {
	a := l.takeShared(w, u, true)
	if a.Admitted || !l.borrow(ctx, w, u.Units) {
		return a
	}
	return l.takeShared(w, u, false)
}

// takeShared uses units of the failure domain. It records the demand the first time
// that it is called for a use.
func (l *Limiter) takeShared(w *routes.Workspace, u limit.Use, isFirst bool) limit.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	s.collect(now)
	s.servedAt = now
	if isFirst {
		s.shared.Record(u, now)
	}
	wait := s.shared.Take(u, 0, now)
	return admission(wait, "owner", "part of the failure domain")
}

// decideAlone decides on a use with the units of this instance.
func (l *Limiter) decideAlone(w *routes.Workspace, u limit.Use) limit.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	s.own.Record(u, now)
	wait := s.own.Take(u, l.config.Random(), now)
	return admission(wait, "alone", "part of the instance")
}

// admission returns the admission of a use after a wait.
func admission(wait time.Duration, by, limitName string) limit.Admission {
	if wait == 0 {
		return limit.Admission{Admitted: true, DecidedBy: by}
	}
	return limit.Admission{RetryAfter: wait, DecidedBy: by, ExhaustedLimit: limitName}
}

// setAlone records whether the instance decides alone on the uses of a workspace,
// and logs changes.
func (l *Limiter) setAlone(w *routes.Workspace, isAlone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(w, l.config.Now())
	if s.isAlone == isAlone {
		return
	}
	s.isAlone = isAlone
	if isAlone {
		l.config.Log.Warn("no allowance owner is reachable: using the instance's own share", zap.String("workspace", w.Name))
		return
	}
	l.config.Log.Info("allowance owner is reachable again", zap.String("workspace", w.Name))
}
