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
	// askTimeout limits a call to the owner, which is in the same failure domain
	// and responds within a millisecond.
	askTimeout = 150 * time.Millisecond
	// avoidPeriod is how long an instance is not asked after a call to it failed.
	avoidPeriod = time.Second
	// maxOwnersAsked is the maximum number of instances asked for one request.
	maxOwnersAsked = 2
	// ownerShareFactor is the multiple of the failure domain's equal share of an
	// allowance that the failure domain's owner of the allowance may admit. It
	// bounds what all owners admit before they learn of each other's spending,
	// which takes half a second when less than half of the burst is left.
	ownerShareFactor = 2
	// burstSlackFraction is the fraction of Config.Slack that is added to the
	// burst, so that a steady load that arrives unevenly is not rejected.
	burstSlackFraction = 0.4
	// maxDebtSeconds limits the debt of a workspace, in seconds of its allowance
	// rate.
	maxDebtSeconds = 6
	// joinPeriod is how long after its start an instance assumes that the spending
	// it learns from others is older than its start, and does not charge it. In
	// this time, the instance also limits its failure domain to its equal share,
	// and new allowances start with initialBurstFraction of their burst.
	joinPeriod = 4 * time.Second
	// initialBurstFraction is the fraction of a burst that is available when an
	// instance starts and at the end of joinPeriod. The instance does not know what
	// was spent before its start or what others have spent since, and all
	// instances may have been killed at once.
	initialBurstFraction = 0.2
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
	// Instances is the number of instances, and Unreachable the number of those
	// that this instance has lost contact with.
	Instances, Unreachable int
	// Local are the IDs of the live instances in the same failure domain,
	// including this one.
	Local []string
}

// Config configures a Limiter. All fields but Log are required.
type Config struct {
	Instance string
	// Node is the name of the instance's own counters.
	Node     string
	Counters *evidence.Table
	// Slack is what all instances together may admit beyond an allowance, in units.
	Slack float64
	Fleet func() Fleet
	Table func() *routes.Table
	// Ask asks another instance to admit a use.
	Ask func(ctx context.Context, instance, workspace string, units float64) (limit.Admission, error)
	// Notify starts an immediate exchange of the counters with the peers.
	Notify func()
	// Now reads the boot clock, and Wall the wall clock, which determines epochs.
	Now, Wall  func() time.Time
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Limiter admits uses of allowances. Its methods are safe for concurrent use.
type Limiter struct {
	config    Config
	start     time.Time
	fleet     atomic.Pointer[Fleet]
	decisions *prometheus.CounterVec

	mu         sync.Mutex
	states     map[string]*workspaceState
	avoidUntil map[string]time.Time // time before which an instance is not asked, by ID
	lastNotify time.Time            // last call of Notify because less than half of a burst was left
}

// workspaceState is the state of one workspace's allowance.
type workspaceState struct {
	// all limits the use by all instances, domain the use by the failure domain
	// while this instance is the owner, and standalone the use by this instance
	// while it cannot reach an owner.
	all, domain, standalone limit.Allowance
	// counted are the units, by epoch, up to which the counters of all instances
	// have been processed: charged, or ignored within joinPeriod.
	counted     map[string]uint64
	unpublished uint64 // units spent by this instance and not yet added to the counters
	// isJoining is set until the instance charges the spending of others.
	isJoining bool
}

// New returns a limiter. The caller must call Refresh every RefreshPeriod.
func New(c Config) (*Limiter, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Limiter{
		config: c, start: c.Now(), states: make(map[string]*workspaceState), avoidUntil: make(map[string]time.Time),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "allowance_decisions_total", Help: "Uses of allowances by who decided and the outcome.",
		}, []string{"by", "outcome"}),
	}
	if c.Registerer == nil {
		return l, nil
	}
	return l, c.Registerer.Register(l.decisions)
}

// Take uses units of a workspace's allowance if they are available, and
// otherwise returns when to retry.
func (l *Limiter) Take(ctx context.Context, w *routes.Workspace, u limit.Use) limit.Admission {
	if w.Allowance.Rate <= 0 {
		return limit.Admission{Admitted: true}
	}
	a := l.decide(ctx, w, u.Units)
	outcome := "admitted"
	if !a.Admitted {
		outcome = "refused"
	}
	by, _, _ := strings.Cut(a.DecidedBy, " ")
	l.decisions.WithLabelValues(by, outcome).Inc()
	return a
}

func (l *Limiter) decide(ctx context.Context, w *routes.Workspace, units float64) limit.Admission {
	for _, owner := range l.owners(w.Name) {
		if owner == l.config.Instance {
			return l.decideLocally(w, units, false)
		}
		if a, err := l.askOwner(ctx, owner, w.Name, units); err == nil {
			return a
		}
	}
	return l.decideLocally(w, units, true)
}

// Serve decides, as the owner, whether to admit a use that a peer requests.
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
	return l.decideLocally(w, units, false), nil
}

// knownFleet returns the fleet as of the last Refresh. Before the first one it asks: an
// instance that takes itself for the only one admits the whole allowance alone.
func (l *Limiter) knownFleet() *Fleet {
	if f := l.fleet.Load(); f != nil {
		return f
	}
	f := l.config.Fleet()
	l.fleet.CompareAndSwap(nil, &f)
	return l.fleet.Load()
}

// owners returns the instances to ask, starting with the owner.
func (l *Limiter) owners(workspace string) []string {
	local, now := l.knownFleet().Local, l.config.Now()
	l.mu.Lock()
	if len(l.avoidUntil) > 0 {
		local = slices.DeleteFunc(slices.Clone(local), func(id string) bool { return now.Before(l.avoidUntil[id]) })
	}
	l.mu.Unlock()
	return membership.Owners(xxhash.Sum64String(workspace), local, maxOwnersAsked)
}

// askOwner asks another instance. An instance whose call fails is not asked for
// avoidPeriod, unless the call failed because ctx ended.
func (l *Limiter) askOwner(ctx context.Context, owner, workspace string, units float64) (limit.Admission, error) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := l.config.Ask(callCtx, owner, workspace, units)
	if err == nil || ctx.Err() != nil {
		a.DecidedBy = "peer " + owner
		return a, err
	}
	l.mu.Lock()
	l.avoidUntil[owner] = l.config.Now().Add(avoidPeriod)
	l.mu.Unlock()
	l.config.Log.Info("request to allowance owner failed", zap.String("peer", owner), zap.String("workspace", workspace), zap.Error(err))
	return a, err
}

// decideLocally decides on a use without asking another instance, as the owner
// or, if standalone, because no owner can be reached.
func (l *Limiter) decideLocally(w *routes.Workspace, units float64, standalone bool) limit.Admission {
	if w.Allowance.Rate <= 0 {
		return limit.Admission{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	s := l.state(w, now)
	a, part := limit.Admission{DecidedBy: "owner", ExhaustedLimit: "part of the failure domain"}, &s.domain
	if standalone {
		a, part = limit.Admission{DecidedBy: "alone", ExhaustedLimit: "part of the instance"}, &s.standalone
	}
	a.RetryAfter = part.Wait(units, now)
	if wait := s.all.Wait(units, now); wait > a.RetryAfter {
		a.RetryAfter, a.ExhaustedLimit = wait, "allowance of all instances"
	}
	if a.RetryAfter > 0 {
		return a
	}
	s.all.Spend(units, now)
	part.Spend(units, now)
	s.unpublished += uint64(units)
	return limit.Admission{Admitted: true, DecidedBy: a.DecidedBy}
}

// state returns the state of a workspace's allowance and creates it if needed.
func (l *Limiter) state(w *routes.Workspace, now time.Time) *workspaceState {
	s, ok := l.states[w.Name]
	if !ok {
		s = &workspaceState{counted: make(map[string]uint64), isJoining: l.isJoining(now)}
		l.states[w.Name] = s
		s.setLimits(w, l.knownFleet(), l.config.Slack, now)
		if s.isJoining {
			s.capBursts(now)
		}
	}
	return s
}

// isJoining reports whether the instance started less than joinPeriod ago.
func (l *Limiter) isJoining(now time.Time) bool { return now.Sub(l.start) < joinPeriod }

// capBursts limits what is left of each limit to initialBurstFraction.
func (s *workspaceState) capBursts(now time.Time) {
	for _, a := range []*limit.Allowance{&s.all, &s.domain, &s.standalone} {
		a.Cap(initialBurstFraction, now)
	}
}

// setLimits sets the limits of a workspace's allowance. A failure domain that has
// lost contact with others, or has not heard from them yet, is limited to its
// equal share.
func (s *workspaceState) setLimits(w *routes.Workspace, f *Fleet, slack float64, now time.Time) {
	n := float64(max(1, f.Instances))
	fraction := float64(max(1, len(f.Local))) / n
	if f.Unreachable == 0 && !s.isJoining {
		fraction *= ownerShareFactor
	}
	rate, burst := w.Allowance.Rate, w.Allowance.Burst+burstSlackFraction*slack
	s.all.Set(rate, burst, now)
	s.domain.Set(rate*min(1, fraction), max(1, burst*min(1, fraction)), now)
	s.standalone.Set(rate/n, max(1, burst/n), now)
}
