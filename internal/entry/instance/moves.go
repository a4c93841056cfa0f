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

// newVetoes returns the set of vetoes that is spread to all peers. The first veto
// on each move is kept.
func newVetoes(changed func(veto)) *exchange.Set[string, veto] {
	return exchange.NewSet(exchange.SetConfig[string, veto]{
		Key: func(v veto) string { return v.Move },
		Add: func(d *peerpb.Digest, v veto) {
			d.Vetoes = append(d.Vetoes, &peerpb.Veto{Move: v.Move, Reason: v.Reason, At: v.At.UnixNano()})
		},
		Take: func(d *peerpb.Digest) (vs []veto) {
			for _, v := range d.GetVetoes() {
				if !validNames(v.GetMove(), v.GetReason()) {
					continue
				}
				vs = append(vs, veto{Move: v.GetMove(), Reason: v.GetReason(), At: time.Unix(0, v.GetAt())})
			}
			return vs
		},
		Urgent:  true,
		Changed: changed,
	})
}

// moveState is a move with the current decision on it.
type moveState struct {
	record   catalogue.Move
	decision move.Decision
}

// catalogueState is the state that the request path reads: the catalogue in
// effect and the decisions on its moves by entry. It is immutable; publish
// replaces it.
type catalogueState struct {
	snapshot *catalogue.Snapshot
	moves    map[string]moveState
}

// mover decides on the version moves of the catalogue in effect.
type mover struct {
	policy   move.Policy
	evidence *evidence.Table
	vetoes   *exchange.Set[string, veto]
	isolated func(now time.Time) bool
	store    kv.Store
	now      func() time.Time
	log      *zap.Logger
	// isHolder reports whether this instance is the watch holder of its failure
	// domain. Once the vetoes are known, only the holder reads and writes vetoes
	// in the store; the other instances receive them through the exchange.
	isHolder func() bool
	metrics  *burn.Metrics

	// vetoesKnown is true once the vetoes on all moves were looked up in the
	// store, a peer with a catalogue has sent its vetoes, or maxVetoWait has
	// passed without either. Until then a new instance could send requests to a
	// version that was rolled back, so it reports not ready.
	vetoesKnown atomic.Bool
	// wake triggers a decision before the next period.
	wake chan struct{}
	// catalogueChanged signals a new catalogue to syncVetoes.
	catalogueChanged chan struct{}

	current atomic.Pointer[catalogueState]

	mu sync.Mutex // serializes calls of publish
	// vetoStored has the ID of each move whose veto was looked up in the store or
	// written to it, and whether the store has a veto. Only syncVetoes uses it.
	vetoStored map[string]bool
}

// Snapshot returns the catalogue in effect, or nil.
func (m *mover) Snapshot() *catalogue.Snapshot {
	if p := m.current.Load(); p != nil {
		return p.snapshot
	}
	return nil
}

// Version returns the version of an entry for a conversation. It also returns the
// ID and the step of the move to which the request's outcome counts as evidence;
// the ID is empty if there is no such move.
func (m *mover) Version(e *catalogue.Entry, conversation uint64) (version, moveID string, step uint8) {
	p := m.current.Load()
	if p == nil {
		return e.Version, "", 0
	}
	s, ok := p.moves[e.Name]
	if !ok {
		return e.Version, "", 0
	}
	if m.now().Before(s.record.KeepUntil) {
		moveID = s.record.ID
	}
	if move.Choose(s.decision.Share, conversation) {
		return s.record.To, moveID, s.decision.Step
	}
	return s.record.From, moveID, s.decision.Step
}

// hasMove reports whether the catalogue in effect contains a move.
func (m *mover) hasMove(id string) bool {
	s := m.Snapshot()
	return s != nil && s.HasMove(id)
}

// accept puts a catalogue in effect, decides on each of its moves and drops the
// evidence on moves that it no longer contains.
func (m *mover) accept(s *catalogue.Snapshot) {
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

// decide repeats the decision on each move of the catalogue in effect.
func (m *mover) decide() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.current.Load(); p != nil && len(p.moves) > 0 {
		m.publish(p.snapshot)
	}
}

// publish decides on the moves of s and replaces the state that the request path
// reads. The caller must hold mu.
func (m *mover) publish(s *catalogue.Snapshot) {
	now := m.now()
	previous := m.current.Load()
	p := &catalogueState{snapshot: s, moves: make(map[string]moveState)}
	for i := range s.Catalogue.Moves {
		record := s.Catalogue.Moves[i]
		if latest, ok := s.MoveOf(record.Entry); !ok || latest.ID != record.ID {
			continue
		}
		p.moves[record.Entry] = moveState{record: record, decision: m.decideOne(record, previous.lastDecision(record), now)}
	}
	m.current.Store(p)
	m.reportDecisions(previous, p)
}

// lastDecision returns the decision on a move in p, or the zero value if p has
// none. p may be nil.
func (p *catalogueState) lastDecision(record catalogue.Move) move.Decision {
	if p == nil || p.moves[record.Entry].record.ID != record.ID {
		return move.Decision{}
	}
	return p.moves[record.Entry].decision
}

func (m *mover) decideOne(record catalogue.Move, last move.Decision, now time.Time) move.Decision {
	existing, vetoed := m.vetoes.Get(record.ID)
	d := m.policy.Decide(move.State{
		Plan: move.Plan{
			ID: record.ID, From: record.From, To: record.To,
			Start: record.Start, Deadline: record.Deadline, KeepUntil: record.KeepUntil,
		},
		Evidence: m.evidence.Totals(record.ID),
		Vetoed:   vetoed,
		Isolated: m.isolated(now),
		Last:     last,
	}, now)
	if d.Veto && !vetoed {
		// The veto set notifies the peers. Its Changed callback, onVeto, must
		// not decide again, because mu is held.
		m.vetoes.Put(veto{Move: record.ID, Reason: d.Reason, At: now})
	}
	if vetoed {
		d.Reason = existing.Reason
	}
	return d
}

// reportDecisions logs each change of a move's phase and updates the metrics of
// the shares.
func (m *mover) reportDecisions(previous, next *catalogueState) {
	var shares []burn.MoveShare
	for name, s := range next.moves {
		shares = append(shares, burn.MoveShare{Entry: name, Move: s.record.ID, To: s.record.To, Share: s.decision.Share})
		previousPhase := move.Phase(-1)
		if previous != nil && previous.moves[name].record.ID == s.record.ID {
			previousPhase = previous.moves[name].decision.Phase
		}
		if s.decision.Phase == previousPhase {
			continue
		}
		m.log.Info("version move changed phase",
			zap.Int64("revision", next.snapshot.Revision), zap.String("entry", name), zap.String("move", s.record.ID),
			zap.String("from", s.record.From), zap.String("to", s.record.To),
			zap.Stringer("phase", s.decision.Phase), zap.String("reason", s.decision.Reason))
	}
	m.metrics.SetMoves(shares)
}

// onVeto is called for each new veto. It makes run decide instead of deciding
// itself, because mu may be held.
func (m *mover) onVeto(v veto) {
	m.log.Info("version move vetoed", zap.String("move", v.Move), zap.String("reason", v.Reason))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run decides on all moves once per decisionPeriod and after each new veto, until
// ctx ends.
func (m *mover) run(ctx context.Context) error {
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
// ctx ends. While the store is unavailable, vetoes still spread among the peers.
func (m *mover) syncVetoes(ctx context.Context) error {
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

func (m *mover) syncVetoesOnce(ctx context.Context) {
	p := m.current.Load()
	if p == nil || m.vetoesKnown.Load() && !m.isHolder() {
		return
	}
	for _, s := range p.moves {
		if m.vetoStored[s.record.ID] {
			continue
		}
		if err := m.syncVeto(ctx, s.record.ID); err != nil {
			return // the store is unavailable; the next round retries
		}
	}
	m.vetoesKnown.Store(true)
	maps.DeleteFunc(m.vetoStored, func(id string, _ bool) bool { return !m.hasMove(id) })
}

// syncVeto synchronizes the veto on one move between the store and the veto set.
// A known veto is written to the store; otherwise the store is read once, when
// the move is first seen.
func (m *mover) syncVeto(ctx context.Context, id string) error {
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
		m.log.Error("veto in the store is invalid", zap.String("key", key))
		m.vetoStored[id] = false
		return nil
	}
	m.vetoStored[id] = true
	m.vetoes.Put(v)
	return nil
}
