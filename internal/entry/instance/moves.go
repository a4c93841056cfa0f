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
	// decidePeriod is the time between two decisions on each move.
	decidePeriod = 250 * time.Millisecond
	// vetoRetry is the time between two attempts to write or read a veto.
	vetoRetry = 2 * time.Second
	// settleTime is how long a new instance waits for vetoes when it reaches
	// neither the store nor a peer.
	settleTime = 5 * time.Second
	storeCall  = time.Second
)

// veto rolls a move back. It is sticky: there is no opposite.
type veto struct {
	Move   string    `json:"move"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

func newVetoes(changed func(veto)) *exchange.Set[string, veto] {
	return exchange.NewSet(exchange.SetConfig[string, veto]{
		Key: func(v veto) string { return v.Move },
		Add: func(d *peerpb.Digest, v veto) {
			d.Vetoes = append(d.Vetoes, &peerpb.Veto{Move: v.Move, Reason: v.Reason, At: v.At.UnixNano()})
		},
		Take: func(d *peerpb.Digest) (vs []veto) {
			for _, v := range d.GetVetoes() {
				if !named(v.GetMove(), v.GetReason()) {
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

// moveState is a move with the decision in effect.
type moveState struct {
	record   catalogue.Move
	decision move.Decision
}

// published is what the request path reads: the catalogue in effect and the
// decisions on its moves by entry. It is replaced as a whole.
type published struct {
	snapshot *catalogue.Snapshot
	moves    map[string]moveState
}

// mover decides on the moves of the catalogue in effect.
type mover struct {
	policy   move.Policy
	evidence *evidence.Table
	vetoes   *exchange.Set[string, veto]
	isolated func(now time.Time) bool
	store    kv.Store
	now      func() time.Time
	log      *zap.Logger
	// holder reports whether this instance speaks to the store for its failure
	// domain; the others learn vetoes from it by exchange.
	holder  func() bool
	metrics *burn.Metrics

	// settled is true once the vetoes of the moves are known: all were looked
	// for in the store, a peer has told its own, or settleTime has passed with
	// neither. Before, a new instance could send requests to a version that was
	// rolled back.
	settled atomic.Bool
	// wake asks for a decision before the next period.
	wake chan struct{}
	// accepted tells keep of a new catalogue.
	accepted chan struct{}

	current atomic.Pointer[published]

	mu     sync.Mutex // serialises publications
	stored map[string]bool
}

// Snapshot returns the catalogue in effect, or nil.
func (m *mover) Snapshot() *catalogue.Snapshot {
	if p := m.current.Load(); p != nil {
		return p.snapshot
	}
	return nil
}

// Version returns the version of an entry for a conversation, and the move
// that the choice is evidence for, with its step.
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

// known reports whether a move is in the catalogue in effect.
func (m *mover) known(id string) bool {
	s := m.Snapshot()
	return s != nil && s.HasMove(id)
}

// accept puts a catalogue in effect, with a decision on each of its moves.
func (m *mover) accept(s *catalogue.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.current.Load()
	m.publish(s)
	select {
	case m.accepted <- struct{}{}:
	default:
	}
	if previous == nil {
		return
	}
	for _, old := range previous.snapshot.Catalogue.Moves {
		if !m.known(old.ID) {
			m.evidence.Forget(old.ID)
		}
	}
}

// decide decides again on all moves.
func (m *mover) decide() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.current.Load(); p != nil && len(p.moves) > 0 {
		m.publish(p.snapshot)
	}
}

// publish decides on the moves of s and replaces what the request path reads.
// The caller holds mu.
func (m *mover) publish(s *catalogue.Snapshot) {
	now := m.now()
	previous := m.current.Load()
	p := &published{snapshot: s, moves: make(map[string]moveState)}
	for i := range s.Catalogue.Moves {
		record := s.Catalogue.Moves[i]
		if latest, ok := s.MoveOf(record.Entry); !ok || latest.ID != record.ID {
			continue
		}
		p.moves[record.Entry] = moveState{record: record, decision: m.decideOne(record, previous.last(record), now)}
	}
	m.current.Store(p)
	m.logChanges(previous, p)
}

// last returns the decision in effect on a move, or the zero value.
func (p *published) last(record catalogue.Move) move.Decision {
	if p == nil || p.moves[record.Entry].record.ID != record.ID {
		return move.Decision{}
	}
	return p.moves[record.Entry].decision
}

func (m *mover) decideOne(record catalogue.Move, last move.Decision, now time.Time) move.Decision {
	given, vetoed := m.vetoes.Get(record.ID)
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
		// The veto set tells the peers; its Changed callback must not decide
		// again, since mu is held.
		m.vetoes.Put(veto{Move: record.ID, Reason: d.Reason, At: now})
	}
	if vetoed {
		d.Reason = given.Reason
	}
	return d
}

func (m *mover) logChanges(previous, p *published) {
	var shares []burn.MoveShare
	for name, s := range p.moves {
		shares = append(shares, burn.MoveShare{Entry: name, Move: s.record.ID, To: s.record.To, Share: s.decision.Share})
		before := move.Phase(-1)
		if previous != nil && previous.moves[name].record.ID == s.record.ID {
			before = previous.moves[name].decision.Phase
		}
		if s.decision.Phase == before {
			continue
		}
		m.log.Info("version move changed its phase",
			zap.Int64("revision", p.snapshot.Revision), zap.String("entry", name), zap.String("move", s.record.ID),
			zap.String("from", s.record.From), zap.String("to", s.record.To),
			zap.Stringer("phase", s.decision.Phase), zap.String("reason", s.decision.Reason))
	}
	m.metrics.SetMoves(shares)
}

// vetoed is told of each new veto. It does not decide itself, because it may be
// called with mu held.
func (m *mover) vetoed(v veto) {
	m.log.Info("version move is vetoed", zap.String("move", v.Move), zap.String("reason", v.Reason))
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// run decides until ctx ends.
func (m *mover) run(ctx context.Context) error {
	decisions := time.NewTicker(decidePeriod)
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

// keep writes vetoes to the store and reads those that others wrote, until ctx
// ends. The store may be away; peers spread vetoes without it.
func (m *mover) keep(ctx context.Context) error {
	settle := time.NewTimer(settleTime)
	defer settle.Stop()
	retry := time.NewTicker(vetoRetry)
	defer retry.Stop()
	for {
		m.keepOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-settle.C:
			m.settled.Store(true)
		case <-m.accepted:
		case <-retry.C:
		}
	}
}

func (m *mover) keepOnce(ctx context.Context) {
	p := m.current.Load()
	if p == nil || m.settled.Load() && !m.holder() {
		return
	}
	for _, s := range p.moves {
		if m.stored[s.record.ID] {
			continue
		}
		if err := m.keepVeto(ctx, s.record.ID); err != nil {
			return // the store is away; the next round tries again
		}
	}
	m.settled.Store(true)
	maps.DeleteFunc(m.stored, func(id string, _ bool) bool { return !m.known(id) })
}

// keepVeto makes the store and the veto set agree on one move. A veto is
// looked for once when the move is first seen, and written when one is known.
func (m *mover) keepVeto(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
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
		m.stored[id] = true
		return nil
	}
	if _, looked := m.stored[id]; looked {
		return nil
	}
	value, err := m.store.Get(ctx, key)
	if errors.Is(err, kv.ErrAbsent) {
		m.stored[id] = false
		return nil
	}
	if err != nil {
		return err
	}
	var v veto
	if err := json.Unmarshal(value.Data, &v); err != nil || v.Move != id {
		m.log.Error("veto in the store does not decode", zap.String("key", key))
		m.stored[id] = false
		return nil
	}
	m.stored[id] = true
	m.vetoes.Put(v)
	return nil
}
