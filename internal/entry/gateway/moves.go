package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// maxPastOrders bounds the orders of a service that are remembered after they were replaced.
const maxPastOrders = 8

// movePeriod is the time between two evaluations of the evidence.
const movePeriod = 200 * time.Millisecond

// MoveOrder is an operator's order to move a service's traffic to another version.
type MoveOrder struct {
	Service, To string
	// Within is the time allowed for the move, counted from when the instance that
	// records the move received the order.
	Within time.Duration
}

// MoveState is the state of a move.
type MoveState string

// States of a move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "rolled-back"
)

// activeMove is a move with this instance's latest decision.
type activeMove struct {
	moveRecord
	decision move.Decision
	// newAbsent is true if this instance knows no server of the new version.
	newAbsent bool
}

// mover moves traffic between versions. Each instance decides on its own from the
// evidence of all instances, and the holder of the duty records the outcome.
// mover implements forward.Versions.
type mover struct {
	instance *Instance
	paces    paces
	active   atomic.Pointer[map[string]activeMove] // by service

	mu             sync.Mutex
	orders         map[string]receivedOrder // by service
	pastOrders     map[string][]receivedOrder
	records        map[string]storedMove // by service
	reportedStatus map[string]string     // status last written for the operator, by service
	presence       move.Presence
	era            int64 // of the last listing of the store
}

// receivedOrder is an order, its revision in the store and when this instance
// received it, on the wall clock.
type receivedOrder struct {
	MoveOrder
	revision   int64
	receivedAt time.Time
	// seenRevision is the revision under which the order was seen last, and rewrittenIn the
	// last era of the store in which the operator wrote it again, after the store came back
	// from a copy.
	seenRevision, rewrittenIn int64
}

// isCopiedAs reports whether an order found at a revision is o itself, which a copy of the
// store has kept.
func (o receivedOrder) isCopiedAs(found MoveOrder, revision int64) bool {
	return o.MoveOrder == found && store.Era(revision) > store.Era(o.revision) && store.Revision(revision) == store.Revision(o.revision)
}

// writtenAgain returns o as seen at a revision, if the order found there is not a new one: the
// store's copy has kept it, or the operator has written it again, which happens once an era.
func (o receivedOrder) writtenAgain(found MoveOrder, revision int64) (again receivedOrder, ok bool) {
	era := store.Era(revision)
	again = o
	again.seenRevision = revision
	switch {
	case o.isCopiedAs(found, revision):
		return again, true
	case o.MoveOrder == found && era > store.Era(o.revision) && era > o.rewrittenIn:
		again.rewrittenIn = era
		return again, true
	}
	return o, false
}

// storedMove is the record of a move and its revision in the store.
type storedMove struct {
	moveRecord
	revision int64
	// overwritten means that the store holds something else at this revision, so
	// that the record must be written again.
	overwritten bool
}

func newMover(f *Instance) *mover {
	m := &mover{instance: f, orders: make(map[string]receivedOrder), pastOrders: make(map[string][]receivedOrder), records: make(map[string]storedMove), reportedStatus: make(map[string]string)}
	m.active.Store(new(map[string]activeMove))
	return m
}

// applyOrder accepts an operator's order. It ignores removals, and revisions that
// are not newer than the known order of the service.
func (m *mover) applyOrder(item store.Item) {
	if item.Removed {
		return
	}
	o, err := m.instance.config.Format.DecodeMove(item.Key, item.Value)
	if err != nil {
		m.instance.config.Log.Warn("decoding move order failed", zap.Error(err), zap.Int64("revision", item.Revision))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.orders[o.Service]
	if ok && known.seenRevision >= item.Revision {
		return
	}
	if again, same := known.writtenAgain(o, item.Revision); ok && same {
		m.orders[o.Service] = again
		return
	}
	if slices.ContainsFunc(m.pastOrders[o.Service], func(past receivedOrder) bool { return past.isCopiedAs(o, item.Revision) }) {
		return // the store's copy does not have the order that replaced this one
	}
	if ok {
		past := append(m.pastOrders[o.Service], known)
		m.pastOrders[o.Service] = past[max(0, len(past)-maxPastOrders):]
	}
	m.orders[o.Service] = receivedOrder{MoveOrder: o, revision: item.Revision, receivedAt: time.Now(), seenRevision: item.Revision}
	m.instance.config.Log.Info("move order received", zap.String("service", o.Service), zap.String("to", o.To), zap.Duration("within", o.Within), zap.Int64("revision", item.Revision))
}

// applyRecord accepts the record of a move. It ignores removals, and revisions that
// are not newer than the known record of the service.
func (m *mover) applyRecord(item store.Item) {
	service := strings.TrimPrefix(item.Key, movesPrefix)
	var r moveRecord
	if item.Removed {
		return
	}
	if err := json.Unmarshal(item.Value, &r); err != nil || !r.valid(service) {
		m.instance.config.Log.Warn("ignoring invalid move record", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		m.markOverwritten(service, item.Revision)
		return
	}
	m.mu.Lock()
	known := m.records[service]
	if item.Revision > known.revision {
		next := storedMove{moveRecord: r, revision: item.Revision}
		if store.Era(item.Revision) > store.Era(known.revision) && known.follows(r) {
			next = storedMove{moveRecord: known.moveRecord, revision: item.Revision, overwritten: true}
		}
		m.records[service] = next
	}
	m.mu.Unlock()
	if known.ID != r.ID || known.State != r.State {
		m.instance.config.Log.Info("move record changed", zap.String("service", service), zap.String("to", r.To), zap.String("state", string(r.State)), zap.Int64("revision", item.Revision))
		// The status may be reported before the next periodic decision.
		m.decide(time.Now())
	}
}

// applyListing applies a listing of all items of the store. In a new era, records that the
// store has lost are written again, and so is the status of each move.
func (m *mover) applyListing(c follow.Change) {
	listed := make(map[string]bool)
	for _, item := range c.Items {
		if service, ok := strings.CutPrefix(item.Key, movesPrefix); ok {
			listed[service] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.era == 0
	if store.Era(c.Revision) <= m.era {
		return
	}
	if m.era = store.Era(c.Revision); first || len(m.records) == 0 {
		return
	}
	clear(m.reportedStatus)
	lost := 0
	for service, known := range m.records {
		if !listed[service] && store.Era(known.revision) < m.era {
			known.revision, known.overwritten = 0, true
			m.records[service] = known
			lost++
		}
	}
	m.instance.config.Log.Info("move records kept in a new era of the store", zap.Int64("era", m.era), zap.Int("lost", lost))
}

// markOverwritten notes that the store holds an invalid record of a service's move.
// The known record remains in effect.
func (m *mover) markOverwritten(service string, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.records[service]; revision > known.revision {
		known.revision, known.overwritten = revision, true
		m.records[service] = known
	}
}

// run decides on moves, and records them while this instance holds the duty,
// until ctx ends.
func (m *mover) run(ctx context.Context) {
	wait.Every(ctx, movePeriod, func() {
		m.decide(time.Now())
		if _, ok := m.instance.duty.Fence(); ok {
			m.recordMoves(ctx, time.Now())
		}
	})
}

// decide computes this instance's share of traffic for the new version of each
// move. The share is 0 until a holder of the duty has recorded the order.
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
		isNew := !ok || r.ID != moveID(o) && (r.Order == 0 || r.Order != o.seenRevision)
		baseline, rejected := r.Baseline, r.Rejected
		if isNew {
			baseline, rejected = r.following(o.To, m.servingVersion(service, o.To))
		}
		newAbsent, oldAbsent := m.absentVersions(service, o.To, rejected.list(), now)
		if isNew {
			a := activeMove{moveRecord: moveRecord{ID: moveID(o), Service: service, To: o.To, State: MoveRunning, Rejected: rejected, Baseline: baseline}, newAbsent: newAbsent}
			if oldAbsent && !newAbsent {
				a.decision.Share = 1
			}
			next[service] = a
			continue
		}
		a := activeMove{moveRecord: r.moveRecord, newAbsent: newAbsent}
		state := move.State{
			Plan:      move.Plan{ID: r.ID, From: oldVersion, To: r.To, Start: r.Start, Deadline: r.Deadline, KeepUntil: r.Finish, Retained: true},
			NewAbsent: newAbsent, OldAbsent: oldAbsent,
		}
		previous, ok := last[service]
		if ok && previous.ID == r.ID {
			state.Previous = previous.decision
		}
		_, isHolder := m.instance.duty.Fence()
		a.decision = m.decideRecorded(r.State, state, isHolder, now)
		if ok && previous.decision.Reason != a.decision.Reason {
			m.logDecision(&a)
		}
		next[service] = a
	}
	m.active.Store(&next)
}

// decideRecorded decides on a move that has a record in a state. Until the report that a
// move is done, its new version can still be rolled back, since the old servers are there.
// Only the holder of the duty does so: the other instances follow its record, so that
// none sends requests to servers that stop at the report.
func (m *mover) decideRecorded(recorded MoveState, s move.State, isHolder bool, now time.Time) move.Decision {
	switch {
	case recorded == MoveRolledBack:
		return move.Decision{Phase: move.RolledBack, Veto: true}
	case recorded == MoveDone && !now.Before(s.Plan.KeepUntil):
		return move.Decision{Share: 1, Phase: move.Done}
	case recorded == MoveDone && s.NewAbsent:
		return move.Decision{Reason: "no server of the new version"}
	}
	s.Evidence = m.instance.counters.Totals(s.Plan.ID)
	if recorded == MoveDone {
		return move.Sequential{}.Review(s, isHolder, now)
	}
	s.Isolated = m.instance.members.Isolated(now)
	return move.Sequential{}.Decide(s, now)
}

// logDecision logs a decision with the evidence for it.
func (m *mover) logDecision(a *activeMove) {
	d := &a.decision
	m.instance.config.Log.Info("reason for move decision changed", zap.String("service", a.Service), zap.String("to", a.To), zap.Float64("share", d.Share),
		zap.String("reason", d.Reason), zap.Float64("log-e", d.LogE), zap.String("doubt-route", d.Doubt.Route), zap.Float64("doubt-ratio", d.Doubt.Ratio),
		zap.Bool("slow", d.Doubt.Slow), zap.Float64("requests", d.Doubt.Requests), zap.Float64("bad", d.Doubt.Bad),
		zap.Float64("old-requests", d.Doubt.OldRequests), zap.Float64("old-bad", d.Doubt.OldBad))
}

// servingVersion returns the version that most servers of a service have, other than the
// given one, or "" if there is none.
func (m *mover) servingVersion(service, other string) (version string) {
	servers := make(map[string]int)
	for _, w := range m.instance.pool.Service(service) {
		if w.Version == other {
			continue
		}
		servers[w.Version]++
		if n := servers[w.Version]; n > servers[version] || n == servers[version] && w.Version < version {
			version = w.Version
		}
	}
	return version
}

// absentVersions reports whether no server of a service has the new version, and whether
// there is no other version to move from. The caller holds m.mu.
func (m *mover) absentVersions(service, newVersion string, rejected []string, now time.Time) (newAbsent, oldAbsent bool) {
	var hasOld, hasNew bool
	for _, w := range m.instance.pool.Service(service) {
		hasOld = hasOld || w.Version != newVersion && !slices.Contains(rejected, w.Version)
		hasNew = hasNew || w.Version == newVersion && w.Usable()
	}
	return m.presence.Observe(service+"/"+newVersion, hasOld, hasNew, now)
}

// oldVersion represents, in the evidence, every version but the new one.
const oldVersion = "old"

// moveID returns the ID of a move, which is unique for each order.
func moveID(o receivedOrder) string {
	return "move/" + o.Service + "/" + o.To + "/" + strconv.FormatInt(o.revision, 10)
}

// Choose implements forward.Versions.
func (m *mover) Choose(service, route string, random uint64) forward.VersionChoice {
	a, ok := (*m.active.Load())[service]
	if !ok {
		return forward.VersionChoice{}
	}
	c := forward.VersionChoice{Move: a.ID, NewVersion: a.To, Step: a.decision.Step, NoFallback: a.decision.Phase != move.Running || a.decision.Share == 0 || a.decision.Share == 1}
	c.Rejected = a.Rejected.list()
	c.UseNewVersion = move.UsesNewVersion(a.decision.ShareOn(route), random)
	return c
}

// RecordResult implements forward.Versions.
func (m *mover) RecordResult(c forward.VersionChoice, r forward.VersionResult) {
	k := paceKey{r.Service, r.Route}
	ratio := move.SlowResponseRatio
	if r.Stream {
		ratio = move.SlowStreamRatio
	}
	slow := r.Late || r.Pace > 0 && m.paces.isSlow(k, r.Pace, ratio)
	// Once a move is complete, its new version is the current one.
	if current := !r.New || c.Step == 0 && c.UseNewVersion; current && r.Pace > 0 {
		m.paces.add(k, r.Pace)
	}
	if c.Move == "" || c.Step == 0 {
		return
	}
	version := oldVersion
	if r.New {
		version = c.NewVersion
	}
	count := evidence.Count{}
	switch {
	case r.Failed:
		count.Failed = 1
	case slow:
		count.Answered, count.Slow = 1, 1
	default:
		count.Answered = 1
	}
	m.instance.counters.Add(m.instance.node, evidence.Key{Move: c.Move, Version: version, Route: r.Route, Step: c.Step}, count)
}
