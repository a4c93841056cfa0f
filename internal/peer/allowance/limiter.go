package allowance

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// askTimeout bounds a question to the owner, which is in the same failure
	// domain and answers within a millisecond.
	askTimeout = 150 * time.Millisecond
	// avoidOwner is how long an instance that did not answer is not asked.
	avoidOwner = time.Second
	// maxAsked is the number of instances that one request asks.
	maxAsked = 2
	// reach is the multiple of the failure domain's even part of an allowance
	// that its owner may admit. It bounds what all owners admit before they know
	// of each other, half a second later if the allowance runs low.
	reach = 2
	// slackPart is the part of the tolerated excess that widens the bursts, so
	// that an even load that arrives unevenly is not rejected.
	slackPart = 0.4
	// maxDebt bounds what a workspace can owe, in seconds of its allowance.
	maxDebt = 6
	// joining is how long after the start an instance takes what it learns of
	// others for spending of earlier.
	joining = 4 * time.Second
	// startPart is the part of a burst that is there when an instance starts. It
	// does not know what was spent before, and all may have been killed at once.
	startPart = 0.2
)

var (
	errs = errorx.NewNamespace("allowance")
	// UnknownWorkspace is the type of the errors for workspaces that are not in
	// the owner's table.
	UnknownWorkspace = errs.NewType("unknown-workspace")
	// InvalidUnits is the type of the errors for uses that are no quantity.
	InvalidUnits = errs.NewType("invalid-units")
)

// Fleet is what an instance knows of the instances that share the allowances.
type Fleet struct {
	// Instances is their number, and Unheard that of those that this instance
	// has lost touch with.
	Instances, Unheard int
	// Local are the IDs of the live ones in the own failure domain, this one
	// included.
	Local []string
}

// Config configures a Limiter. All fields but Log are required.
type Config struct {
	Instance string
	// Node names the instance's own counters.
	Node     string
	Counters *evidence.Table
	// Slack is what all instances may admit beyond an allowance, in units.
	Slack float64
	Fleet func() Fleet
	Table func() *routes.Table
	// Ask asks an instance to admit a use.
	Ask func(ctx context.Context, instance, workspace string, units float64) (limit.Admission, error)
	// Notify tells the peers at once what was spent.
	Notify func()
	// Now reads the boot clock, and Wall the time of day, which names epochs.
	Now, Wall  func() time.Time
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Limiter admits uses of allowances. Its methods are safe for concurrent use.
type Limiter struct {
	config  Config
	start   time.Time
	fleet   atomic.Pointer[Fleet]
	decided *prometheus.CounterVec

	mu     sync.Mutex
	shares map[string]*share
	avoid  map[string]time.Time // until when an instance is not asked
	told   time.Time            // the last round for an allowance that ran low
}

// share is the allowance of one workspace.
type share struct {
	// all bounds what all instances use, domain what the failure domain uses
	// while this instance is the owner, and alone what this one uses while it
	// reaches no owner.
	all, domain, alone limit.Allowance
	// seen are the units that all instances are known to have spent by epoch.
	seen  map[string]uint64
	spent uint64 // by this instance, not yet in the counters
}

// New returns a limiter; Refresh must be called regularly.
func New(c Config) (*Limiter, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Limiter{
		config: c, start: c.Now(), shares: make(map[string]*share), avoid: make(map[string]time.Time),
		decided: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "allowance_decisions_total", Help: "Uses of allowances by who decided and the outcome.",
		}, []string{"by", "outcome"}),
	}
	l.fleet.Store(&Fleet{Instances: 1, Local: []string{c.Instance}})
	if c.Registerer == nil {
		return l, nil
	}
	return l, c.Registerer.Register(l.decided)
}

// Take uses units of a workspace's allowance if they are left, and otherwise
// returns when to come back.
func (l *Limiter) Take(ctx context.Context, w *routes.Workspace, units float64) limit.Admission {
	if w.Allowance.Rate <= 0 {
		return limit.Admission{Admitted: true}
	}
	a := l.take(ctx, w, units)
	outcome := "admitted"
	if !a.Admitted {
		outcome = "refused"
	}
	by, _, _ := strings.Cut(a.By, " ")
	l.decided.WithLabelValues(by, outcome).Inc()
	return a
}

func (l *Limiter) take(ctx context.Context, w *routes.Workspace, units float64) limit.Admission {
	for _, owner := range l.owners(w.Name) {
		if owner == l.config.Instance {
			return l.spend(w, units, false)
		}
		if a, err := l.ask(ctx, owner, w.Name, units); err == nil {
			return a
		}
	}
	return l.spend(w, units, true)
}

// Serve decides on a use for a peer, as the owner.
func (l *Limiter) Serve(workspace string, units float64) (limit.Admission, error) {
	if !(units >= 0) || math.IsInf(units, 0) {
		return limit.Admission{}, InvalidUnits.New("use of %v units", units)
	}
	t := l.config.Table()
	if t == nil {
		return limit.Admission{}, UnknownWorkspace.New("no table yet")
	}
	w, known := t.Workspace(workspace)
	if !known {
		return limit.Admission{}, UnknownWorkspace.New("workspace %q is not in table %d", workspace, t.Version)
	}
	return l.spend(w, units, false), nil
}

// owners returns the instances to ask, the owner first.
func (l *Limiter) owners(workspace string) []string {
	local, now := l.fleet.Load().Local, l.config.Now()
	l.mu.Lock()
	if len(l.avoid) > 0 {
		local = slices.DeleteFunc(slices.Clone(local), func(id string) bool { return now.Before(l.avoid[id]) })
	}
	l.mu.Unlock()
	return membership.Owners(xxhash.Sum64String(workspace), local, maxAsked)
}

// ask asks another instance. One that does not answer is avoided for a while.
func (l *Limiter) ask(ctx context.Context, owner, workspace string, units float64) (limit.Admission, error) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := l.config.Ask(call, owner, workspace, units)
	if err == nil || ctx.Err() != nil {
		a.By = "peer " + owner
		return a, err
	}
	l.mu.Lock()
	l.avoid[owner] = l.config.Now().Add(avoidOwner)
	l.mu.Unlock()
	l.config.Log.Info("owner of an allowance does not answer", zap.String("peer", owner), zap.String("workspace", workspace), zap.Error(err))
	return a, err
}

// spend decides on a use here.
func (l *Limiter) spend(w *routes.Workspace, units float64, alone bool) limit.Admission {
	if w.Allowance.Rate <= 0 {
		return limit.Admission{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.share(w, now)
	a, own := limit.Admission{By: "owner", Bound: "part of the failure domain"}, &s.domain
	if alone {
		a, own = limit.Admission{By: "alone", Bound: "part of the instance"}, &s.alone
	}
	a.RetryAfter = own.Wait(units, now)
	if wait := s.all.Wait(units, now); wait > a.RetryAfter {
		a.RetryAfter, a.Bound = wait, "allowance of all instances"
	}
	if a.RetryAfter > 0 {
		return a
	}
	s.all.Spend(units, now)
	own.Spend(units, now)
	s.spent += uint64(units)
	return limit.Admission{Admitted: true, By: a.By}
}

// share returns the allowance of a workspace.
func (l *Limiter) share(w *routes.Workspace, now time.Time) *share {
	s, ok := l.shares[w.Name]
	if !ok {
		s = &share{seen: make(map[string]uint64)}
		l.shares[w.Name] = s
		isJoining := now.Sub(l.start) < joining
		s.set(w, l.fleet.Load(), l.config.Slack, isJoining, now)
		if isJoining {
			for _, a := range []*limit.Allowance{&s.all, &s.domain, &s.alone} {
				a.Keep(startPart, now)
			}
		}
	}
	return s
}

// set sets the limits of a workspace. A failure domain that has lost touch with
// others, or has not heard from them yet, keeps to its even part.
func (s *share) set(w *routes.Workspace, f *Fleet, slack float64, isJoining bool, now time.Time) {
	n := float64(max(1, f.Instances))
	part := float64(len(f.Local)) / n
	if f.Unheard == 0 && !isJoining {
		part *= reach
	}
	rate, burst := w.Allowance.Rate, w.Allowance.Burst+slackPart*slack
	s.all.Set(rate, burst, now)
	s.domain.Set(rate*min(1, part), max(1, burst*min(1, part)), now)
	s.alone.Set(rate/n, max(1, burst/n), now)
}
