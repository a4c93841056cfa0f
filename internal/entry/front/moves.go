package front

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// movesPrefix is where the holder of the duties keeps the moves.
	movesPrefix = "wasabiworks/moves/"
	// movePeriod is how often the evidence is looked at.
	movePeriod = 200 * time.Millisecond
	// settleMove is the time between the last request that an instance may send
	// to the old version and the report that the move is complete, at which the
	// old servers stop.
	settleMove = 3 * time.Second
	// settlePart bounds settleMove by a part of the time for the move.
	settlePart = 0.3
)

// MoveOrder asks that a service's traffic moves to another version.
type MoveOrder struct {
	Service, To string
	// Within is the time for the move, from the order on.
	Within time.Duration
}

// MoveState is how a move stands.
type MoveState string

// States of a move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "rolled-back"
)

// moveRecord is a move as kept in the store.
type moveRecord struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	To       string    `json:"to"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	// Finish is when the operator is told that a move is complete.
	Finish time.Time `json:"finish"`
	State  MoveState `json:"state"`
}

// activeMove is a move with this instance's decision on it.
type activeMove struct {
	moveRecord
	decision move.Decision
}

// mover moves traffic between versions. Each instance decides by the evidence
// of all; the holder of the duties records the outcome. It implements
// forward.Versions.
type mover struct {
	front  *Front
	active atomic.Pointer[map[string]activeMove] // by service

	mu      sync.Mutex
	orders  map[string]orderedMove // by service
	records map[string]keptMove    // by service
	told    map[string]string      // the status last written, by service
}

type orderedMove struct {
	MoveOrder
	revision int64
	seen     time.Time
}

type keptMove struct {
	moveRecord
	revision int64
}

func newMover(f *Front) *mover {
	m := &mover{front: f, orders: make(map[string]orderedMove), records: make(map[string]keptMove), told: make(map[string]string)}
	m.active.Store(new(map[string]activeMove))
	return m
}

// applyOrder takes an operator's order.
func (m *mover) applyOrder(item store.Item) {
	if item.Removed {
		return
	}
	o, err := m.front.config.Format.Move(item.Key, item.Value)
	if err != nil {
		m.front.config.Log.Warn("order names no move", zap.Error(err), zap.Int64("revision", item.Revision))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if have, ok := m.orders[o.Service]; ok && have.revision >= item.Revision {
		return
	}
	m.orders[o.Service] = orderedMove{MoveOrder: o, revision: item.Revision, seen: time.Now()}
	m.front.config.Log.Info("move ordered", zap.String("service", o.Service), zap.String("to", o.To), zap.Duration("within", o.Within), zap.Int64("revision", item.Revision))
}

// applyRecord takes a kept move.
func (m *mover) applyRecord(item store.Item) {
	service := strings.TrimPrefix(item.Key, movesPrefix)
	var r moveRecord
	if item.Removed {
		return
	}
	if err := json.Unmarshal(item.Value, &r); err != nil || r.Service != service {
		m.front.config.Log.Warn("kept move is not readable", zap.String("key", item.Key), zap.Error(err))
		return
	}
	m.mu.Lock()
	have := m.records[service]
	if item.Revision > have.revision {
		m.records[service] = keptMove{r, item.Revision}
	}
	m.mu.Unlock()
	if have.ID != r.ID || have.State != r.State {
		m.front.config.Log.Info("move recorded", zap.String("service", service), zap.String("to", r.To), zap.String("state", string(r.State)), zap.Int64("revision", item.Revision))
	}
}

// run decides on moves until ctx ends.
func (m *mover) run(ctx context.Context) {
	wait.Every(ctx, movePeriod, func() {
		m.decide(time.Now())
		if _, ok := m.front.duty.Fence(); ok {
			m.record(ctx, time.Now())
		}
	})
}

// decide computes this instance's share of each move. An order that no holder
// has recorded yet sends nothing to the new version.
func (m *mover) decide(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.orders)+len(m.records) == 0 {
		return
	}
	last := *m.active.Load()
	next := make(map[string]activeMove)
	for service, o := range m.orders {
		r, ok := m.records[service]
		if !ok || r.ID != moveID(o) {
			next[service] = activeMove{moveRecord: moveRecord{ID: moveID(o), Service: service, To: o.To, State: MoveRunning}}
			continue
		}
		a := activeMove{moveRecord: r.moveRecord}
		switch r.State {
		case MoveDone:
			a.decision = move.Decision{Share: 1, Phase: move.Done}
		case MoveRolledBack:
			a.decision = move.Decision{Phase: move.RolledBack, Veto: true}
		default:
			state := move.State{
				Plan:     move.Plan{ID: r.ID, From: oldVersion, To: r.To, Start: r.Start, Deadline: r.Deadline, KeepUntil: r.Finish},
				Evidence: m.front.counters.Totals(r.ID), Isolated: m.front.members.Isolated(now),
			}
			if have, ok := last[service]; ok && have.ID == r.ID {
				state.Last = have.decision
			}
			a.decision = move.Sequential{}.Decide(state, now)
			if have, ok := last[service]; ok && have.decision.Reason != a.decision.Reason {
				m.front.config.Log.Info("share of a move changed", zap.String("service", service), zap.String("to", r.To), zap.Float64("share", a.decision.Share),
					zap.String("reason", a.decision.Reason), zap.Float64("log-e", a.decision.LogE))
			}
		}
		next[service] = a
	}
	m.active.Store(&next)
}

// oldVersion stands for every version but the new one in the evidence.
const oldVersion = "old"

func moveID(o orderedMove) string {
	return "move/" + o.Service + "/" + o.To + "/" + strconv.FormatInt(o.revision, 10)
}

// record keeps new moves and their outcomes, and tells the operator.
func (m *mover) record(ctx context.Context, now time.Time) {
	for service, a := range *m.active.Load() {
		m.mu.Lock()
		o, kept := m.orders[service], m.records[service]
		told := m.told[service]
		m.mu.Unlock()
		r := kept.moveRecord
		switch {
		case kept.ID != a.ID:
			settle := min(settleMove, time.Duration(settlePart*float64(o.Within)))
			r = moveRecord{ID: a.ID, Service: service, To: o.To, Start: o.seen, Deadline: o.seen.Add(o.Within - settle), Finish: o.seen.Add(o.Within), State: MoveRunning}
		case r.State == MoveRunning && a.decision.Phase == move.RolledBack:
			r.State = MoveRolledBack
		case r.State == MoveRunning && a.decision.Phase == move.Done && a.decision.Share == 1 && !now.Before(r.Deadline):
			r.State = MoveDone
			r.Finish = now.Add(min(settleMove, r.Finish.Sub(r.Deadline)))
		}
		if r != kept.moveRecord {
			m.keep(ctx, r, kept.revision)
			continue
		}
		state := r.State
		if state == MoveDone && now.Before(r.Finish) {
			state = MoveRunning
		}
		if status := r.ID + string(state); status != told && m.tell(ctx, r, state) {
			m.mu.Lock()
			m.told[service] = status
			m.mu.Unlock()
		}
	}
}

// keep writes a move's record if it is as this instance saw it.
func (m *mover) keep(ctx context.Context, r moveRecord, revision int64) {
	value, err := json.Marshal(r)
	if err != nil {
		m.front.config.Log.Error("move cannot be encoded", zap.Error(err))
		return
	}
	key := movesPrefix + r.Service
	next, err := m.front.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		// The watch brings what stands there.
		m.front.config.Log.Info("move was not recorded", zap.String("service", r.Service), zap.Error(err))
		return
	}
	m.applyRecord(store.Item{Key: key, Value: value, Revision: next})
}

// tell writes the status that the operator reads.
func (m *mover) tell(ctx context.Context, r moveRecord, state MoveState) bool {
	if _, ok := m.front.duty.Fence(); !ok {
		return false
	}
	key, value, err := m.front.config.Format.MoveStatus(r.Service, r.To, state)
	if err == nil {
		_, err = m.front.config.Store.Commit(ctx, store.Commit{Puts: []store.Put{{Key: key, Value: value}}})
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		m.front.config.Log.Info("status of a move was not written", zap.String("service", r.Service), zap.Error(err))
		return false
	}
	m.front.config.Log.Info("operator told of a move", zap.String("service", r.Service), zap.String("to", r.To), zap.String("state", string(state)))
	return true
}

// Choose implements forward.Versions.
func (m *mover) Choose(service string, random uint64) forward.Choice {
	a, ok := (*m.active.Load())[service]
	if !ok {
		return forward.Choice{}
	}
	c := forward.Choice{Move: a.ID, To: a.To, Step: a.decision.Step, Only: a.decision.Phase != move.Running || a.decision.Share == 0 || a.decision.Share == 1}
	c.New = move.Choose(a.decision.Share, random)
	return c
}

// Ended implements forward.Versions.
func (m *mover) Ended(c forward.Choice, isNew bool, route string, failed, slow bool) {
	if c.Move == "" || c.Step == 0 {
		return
	}
	version := oldVersion
	if isNew {
		version = c.To
	}
	count := evidence.Count{}
	switch {
	case failed:
		count.Failed = 1
	case slow:
		count.Answered, count.Slow = 1, 1
	default:
		count.Answered = 1
	}
	m.front.counters.Add(m.front.node, evidence.Key{Move: c.Move, Version: version, Route: route, Step: c.Step}, count)
}
