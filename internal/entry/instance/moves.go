package instance

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

const (
	// decisionPeriod is the interval between two decisions on each move.
	decisionPeriod = 250 * time.Millisecond
	// vetoSyncPeriod is the interval between two attempts to write vetoes to the
	// store or read them.
	vetoSyncPeriod = 2 * time.Second
	// maxVetoWait is how long a new instance waits for vetoes when it reaches
	// neither the store nor a peer.
	maxVetoWait = 5 * time.Second
	// platformCallTimeout limits a call to the store or to the instance list.
	platformCallTimeout = time.Second
)

// veto rolls back a move. It is permanent: no veto is ever revoked.
type veto struct {
	Move   string    `json:"move"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// newVetoes returns the set of vetoes, which is replicated to all peers. The first
// veto on each move is kept.
func newVetoes(changed func(veto)) *exchange.Set[string, veto] {
	return exchange.NewSet(exchange.SetConfig[string, veto]{
		Key: func(v veto) string { return v.Move },
		Add: func(d *peerpb.Digest, v veto) {
			d.Vetoes = append(d.Vetoes, &peerpb.Veto{Move: v.Move, Reason: v.Reason, At: v.At.UnixNano()})
		},
		Extract: func(d *peerpb.Digest) (vs []veto) {
			for _, v := range d.GetVetoes() {
				if !validNames(v.GetMove(), v.GetReason()) {
					continue
				}
				vs = append(vs, veto{Move: v.GetMove(), Reason: v.GetReason(), At: time.Unix(0, v.GetAt())})
			}
			return vs
		},
		Urgent:   true,
		OnChange: changed,
	})
}

// moveState is a move with the current decision on it.
type moveState struct {
	planned  catalogue.Move
	decision move.Decision
}

// catalogueState is the state that the request path reads: the catalogue in
// effect and the decisions on its moves by entry. It is immutable; publish
// replaces it.
type catalogueState struct {
	snapshot *catalogue.Snapshot
	moves    map[string]moveState
}

// moveController decides on the version moves of the catalogue in effect.
type moveController struct {
	policy   move.Policy
	evidence *evidence.Table
	vetoes   *exchange.Set[string, veto]
	// isolated reports whether this instance receives digests from fewer than
	// half of the known failure domains. The policy move.Sequential then does not
	// increase the share of a new version.
	isolated func(now time.Time) bool
	// serves reports whether an entry has a server of a version.
	serves   func(entry, version string) bool
	presence move.Presence // guarded by mu
	store    kv.Store
	now      func() time.Time
	log      *zap.Logger
	// isHolder reports whether this instance is the watch holder of its failure
	// domain: the one live instance that watches the store for new catalogues,
	// polls the platform for reclaim notices, and reads and writes vetoes in the
	// store. The other instances receive all of this from their peers. Until
	// vetoesKnown is true, every instance reads and writes vetoes in the store.
	isHolder func() bool
	metrics  *burn.Metrics

	// vetoesKnown is true once the veto on the latest move of each entry was
	// looked up in the store, a peer with a catalogue has sent its vetoes, or
	// maxVetoWait has passed without either. Until then a new instance could
	// send requests to a version that was rolled back, so it reports not ready.
	vetoesKnown atomic.Bool
	// wake triggers a decision before the next period.
	wake chan struct{}
	// catalogueChanged signals a new catalogue to syncVetoes.
	catalogueChanged chan struct{}

	current atomic.Pointer[catalogueState]

	mu sync.Mutex // serializes calls of publish

	// vetoStored maps the ID of a move to whether the store has a veto on it. A
	// move is missing until its veto was looked up in the store or written to it.
	// Only syncVetoes uses vetoStored.
	vetoStored map[string]bool
}

// Snapshot returns the catalogue in effect, or nil.
func (m *moveController) Snapshot() *catalogue.Snapshot {
	if state := m.current.Load(); state != nil {
		return state.snapshot
	}
	return nil
}

// Version returns the version of an entry for a conversation. It also returns the
// ID and the step of the move for which the request's outcome counts as evidence.
// The ID is empty, and the step without meaning, if the entry has no move or the
// move's KeepUntil has passed, after which versions are no longer compared.
func (m *moveController) Version(e *catalogue.Entry, conversation uint64) (version, moveID string, step uint8) {
	state := m.current.Load()
	if state == nil {
		return e.Version, "", 0
	}
	s, ok := state.moves[e.Name]
	if !ok {
		return e.Version, "", 0
	}
	if m.now().Before(s.planned.KeepUntil) {
		moveID = s.planned.ID
	}
	if move.UsesNewVersion(s.decision.Share, conversation) {
		return s.planned.To, moveID, s.decision.Step
	}
	return s.planned.From, moveID, s.decision.Step
}

// hasMove reports whether the catalogue in effect contains a move.
func (m *moveController) hasMove(id string) bool {
	s := m.Snapshot()
	return s != nil && s.HasMove(id)
}

// accept puts a catalogue in effect, decides on the latest move of each entry and
// drops the evidence on moves that the catalogue no longer contains.
func (m *moveController) accept(s *catalogue.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.current.Load()
	m.publish(s)
	select {
	case m.catalogueChanged <- struct{}{}:
	default:
	}
	if previous == nil {
		return
	}
	for _, old := range previous.snapshot.Catalogue.Moves {
		if !m.hasMove(old.ID) {
			m.evidence.Forget(old.ID)
		}
	}
}

// decide repeats the decision on the latest move of each entry in the catalogue in
// effect.
func (m *moveController) decide() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.current.Load(); state != nil && len(state.moves) > 0 {
		m.publish(state.snapshot)
	}
}

// publish decides on the latest move of each entry in s and replaces the state
// that the request path reads. The caller must hold mu.
func (m *moveController) publish(s *catalogue.Snapshot) {
	now := m.now()
	previous := m.current.Load()
	next := &catalogueState{snapshot: s, moves: make(map[string]moveState)}
	for i := range s.Catalogue.Moves {
		planned := s.Catalogue.Moves[i]
		if latest, ok := s.MoveOf(planned.Entry); !ok || latest.ID != planned.ID {
			continue // superseded by a later move of the entry
		}
		next.moves[planned.Entry] = moveState{planned: planned, decision: m.decideOne(planned, previous.lastDecision(planned), now)}
	}
	m.current.Store(next)
	m.reportDecisions(previous, next)
}

// lastDecision returns the decision on a move in s, or the zero value if s has
// none. s may be nil.
func (s *catalogueState) lastDecision(planned catalogue.Move) move.Decision {
	if s == nil || s.moves[planned.Entry].planned.ID != planned.ID {
		return move.Decision{}
	}
	return s.moves[planned.Entry].decision
}

func (m *moveController) decideOne(planned catalogue.Move, last move.Decision, now time.Time) move.Decision {
	existing, vetoed := m.vetoes.Get(planned.ID)
	newAbsent, oldAbsent := m.presence.Observe(planned.Entry, m.serves(planned.Entry, planned.From), m.serves(planned.Entry, planned.To), now)
	d := m.policy.Decide(move.State{
		Plan: move.Plan{
			ID: planned.ID, From: planned.From, To: planned.To,
			Start: planned.Start, Deadline: planned.Deadline, KeepUntil: planned.KeepUntil,
		},
		Evidence: m.evidence.Totals(planned.ID),
		Vetoed:   vetoed,
		Isolated: m.isolated(now),
		Previous: last, NewAbsent: newAbsent, OldAbsent: oldAbsent,
	}, now)
	if d.Veto && !vetoed {
		// The peers receive the veto through the exchange. The OnChange callback
		// of the veto set, onVeto, must not decide again, because mu is held.
		m.vetoes.Put(veto{Move: planned.ID, Reason: d.Reason, At: now})
	}
	if vetoed {
		d.Reason = existing.Reason
	}
	return d
}

// reportDecisions logs each change of a move's phase and sets the share metric of
// each move.
func (m *moveController) reportDecisions(previous, next *catalogueState) {
	var shares []burn.MoveShare
	for name, s := range next.moves {
		shares = append(shares, burn.MoveShare{Entry: name, Move: s.planned.ID, To: s.planned.To, Share: s.decision.Share})
		previousPhase := move.Phase(-1)
		if previous != nil && previous.moves[name].planned.ID == s.planned.ID {
			previousPhase = previous.moves[name].decision.Phase
		}
		if s.decision.Phase == previousPhase {
			continue
		}
		m.log.Info("version move changed phase",
			zap.Int64("revision", next.snapshot.Revision), zap.String("entry", name), zap.String("move", s.planned.ID),
			zap.String("from", s.planned.From), zap.String("to", s.planned.To),
			zap.Stringer("phase", s.decision.Phase), zap.String("reason", s.decision.Reason))
	}
	m.metrics.SetMoves(shares)
}

// onVeto is called for each new veto: one of this instance, of a peer or from the
// store. It makes run decide instead of deciding
// itself, because mu may be held.
func (m *moveController) onVeto(v veto) {
	m.log.Info("veto on version move recorded", zap.String("move", v.Move), zap.String("reason", v.Reason))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run decides on the moves once per decisionPeriod and after each new veto, until
// ctx ends.
func (m *moveController) run(ctx context.Context) error {
	decisions := time.NewTicker(decisionPeriod)
	defer decisions.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-decisions.C:
		case <-m.wake:
		}
		m.decide()
	}
}

// syncVetoes writes vetoes to the store and reads those that others wrote, until
// ctx ends. While the store is unavailable, the peers still exchange vetoes.
func (m *moveController) syncVetoes(ctx context.Context) error {
	vetoWait := time.NewTimer(maxVetoWait)
	defer vetoWait.Stop()
	retry := time.NewTicker(vetoSyncPeriod)
	defer retry.Stop()
	for {
		m.syncVetoesOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-vetoWait.C:
			m.vetoesKnown.Store(true)
		case <-m.catalogueChanged:
		case <-retry.C:
		}
	}
}

func (m *moveController) syncVetoesOnce(ctx context.Context) {
	state := m.current.Load()
	if state == nil || m.vetoesKnown.Load() && !m.isHolder() {
		return
	}
	for _, s := range state.moves {
		if m.vetoStored[s.planned.ID] {
			continue
		}
		if err := m.syncVeto(ctx, s.planned.ID); err != nil {
			return // usually the store is unavailable; the next round retries
		}
	}
	m.vetoesKnown.Store(true)
	maps.DeleteFunc(m.vetoStored, func(id string, _ bool) bool { return !m.hasMove(id) })
}

// syncVeto synchronizes the veto on one move between the store and the veto set.
// A known veto is written to the store; otherwise the store is read once, when
// the move is first seen.
func (m *moveController) syncVeto(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	key := "vetoes/" + id
	if v, ok := m.vetoes.Get(id); ok {
		data, err := json.Marshal(v)
		if err != nil {
			return err
		}
		if _, err := m.store.Put(ctx, key, data, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		m.vetoStored[id] = true
		return nil
	}
	if _, checked := m.vetoStored[id]; checked {
		return nil
	}
	value, err := m.store.Get(ctx, key)
	if errors.Is(err, kv.ErrAbsent) {
		m.vetoStored[id] = false
		return nil
	}
	if err != nil {
		return err
	}
	var v veto
	if err := json.Unmarshal(value.Data, &v); err != nil || v.Move != id {
		m.log.Error("stored veto is invalid and is ignored", zap.String("key", key))
		m.vetoStored[id] = false
		return nil
	}
	m.vetoStored[id] = true
	m.vetoes.Put(v)
	return nil
}
