package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// movesPrefix is the prefix of the store keys at which the holder of the duty
	// keeps the records of moves.
	movesPrefix = "wasabiworks/moves/"
	// settleTime is the time between the last request that an instance may send to
	// the old version and the report that the move is complete. The servers of the
	// old version stop at this report.
	settleTime = 3 * time.Second
	// maxSettleFraction bounds settleTime, as a fraction of the time that the order
	// allows for the move.
	maxSettleFraction = 0.3
	// reportMargin is how long before the end of the time that the order allows the
	// report is due. It covers the time that the order took to arrive, the periods of
	// the evaluations at the deadline and at the report, and the write to the store.
	reportMargin = 800 * time.Millisecond
	// maxReportMarginFraction bounds reportMargin like maxSettleFraction.
	maxReportMarginFraction = 0.1
)

// moveRecord is the record of a move in the store.
type moveRecord struct {
	ID      string    `json:"id"`
	Service string    `json:"service"`
	To      string    `json:"to"`
	Start   time.Time `json:"start"`
	// Deadline is the planned end of requests to the old version. The state is not
	// set to MoveDone before this time, nor while the versions are compared again.
	Deadline time.Time `json:"deadline"`
	// Finish is when the move is reported to the operator as complete.
	Finish time.Time `json:"finish"`
	State  MoveState `json:"state"`
	// Rejected are the versions whose moves were rolled back or replaced by another order
	// before they were done, the latest first. Their servers may still be there.
	Rejected rejectedVersions `json:"rejected"`
	// Baseline is the version that served before the first move that is not done. It is
	// never rejected, also if it was ordered back and another order followed.
	Baseline string `json:"baseline"`
	// Order is the revision under which the holder of the duty saw the order last.
	Order int64 `json:"order"`
}

// follows reports whether r is a later state of its service's move, or of a later move, than
// other, which a copy of the store has.
func (r *moveRecord) follows(other moveRecord) bool {
	if r.ID != other.ID {
		return r.Start.After(other.Start)
	}
	return other.State == MoveRunning && r.State != MoveRunning
}

// rejectedVersions holds versions; those that are not used are empty.
type rejectedVersions [maxRejected]string

// list returns the versions without the empty ones.
func (v *rejectedVersions) list() []string {
	if i := slices.Index(v[:], ""); i >= 0 {
		return v[:i]
	}
	return v[:]
}

// maxRejected bounds the rejected versions that a record holds.
const maxRejected = 4

// following returns the baseline and the rejected versions of a move to version to that
// follows the move of r. r is the zero value if there was none. serving is the version of
// most servers but those of version to.
func (r *moveRecord) following(to, serving string) (baseline string, rejected rejectedVersions) {
	switch {
	case r.State == MoveDone:
		baseline = r.To
	case r.Baseline != "":
		baseline = r.Baseline
	default:
		baseline = serving
	}
	known := r.Rejected.list()
	if r.State == MoveRunning || r.State == MoveRolledBack {
		known = append([]string{r.To}, known...)
	}
	n := 0
	for _, version := range known {
		if version != to && version != baseline && n < maxRejected && !slices.Contains(rejected[:n], version) {
			rejected[n] = version
			n++
		}
	}
	return baseline, rejected
}

// valid reports whether r is the record of a move of a service.
func (r *moveRecord) valid(service string) bool {
	known := r.State == MoveRunning || r.State == MoveDone || r.State == MoveRolledBack
	return known && r.Service == service && !r.Deadline.Before(r.Start) && !r.Finish.Before(r.Deadline)
}

// recordMoves stores a record for each new move, updates it with the outcome, and
// reports the status of moves to the operator.
func (m *mover) recordMoves(ctx context.Context, now time.Time) {
	for service, a := range *m.active.Load() {
		m.mu.Lock()
		o, stored := m.orders[service], m.records[service]
		reported := m.reportedStatus[service]
		m.mu.Unlock()
		r := stored.moveRecord
		switch {
		case stored.ID != a.ID:
			r = newMoveRecord(a.ID, o)
			r.Baseline, r.Rejected = a.Baseline, a.Rejected
		case r.State == MoveRunning && a.decision.Phase == move.RolledBack:
			r.State = MoveRolledBack
		case r.State == MoveRunning && a.decision.Phase == move.Done && a.decision.Share == 1 && !now.Before(r.Deadline) && !a.newAbsent:
			r.State = MoveDone
			r.Finish = now.Add(min(settleTime, r.Finish.Sub(r.Deadline)))
		case r.State == MoveDone && (a.newAbsent || a.decision.Phase == move.RolledBack) && now.Before(r.Finish):
			r.State = MoveRolledBack // the old servers stop only at the report
		}
		r.Order = o.seenRevision
		if r != stored.moveRecord || stored.overwritten {
			m.storeRecord(ctx, r, stored.revision)
			continue
		}
		state := r.State
		switch {
		case state == MoveDone && now.Before(r.Finish):
			state = MoveRunning
		case state == MoveDone && a.newAbsent:
			continue // the old servers would stop
		}
		if status := r.ID + string(state); status != reported && m.reportStatus(ctx, r, state) {
			m.mu.Lock()
			m.reportedStatus[service] = status
			m.mu.Unlock()
		}
	}
}

// newMoveRecord returns the record of a move that an order begins.
func newMoveRecord(id string, o receivedOrder) moveRecord {
	margin := min(reportMargin, time.Duration(maxReportMarginFraction*float64(o.Within)))
	settle := min(settleTime, time.Duration(maxSettleFraction*float64(o.Within)))
	finish := o.receivedAt.Add(o.Within - margin)
	return moveRecord{ID: id, Service: o.Service, To: o.To, Start: o.receivedAt, Deadline: finish.Add(-settle), Finish: finish, State: MoveRunning}
}

// storeRecord writes a move's record if the one in the store is still at the given
// revision, the last one that this instance has seen.
func (m *mover) storeRecord(ctx context.Context, r moveRecord, revision int64) {
	value, err := json.Marshal(r)
	if err != nil {
		m.instance.config.Log.Error("encoding move record failed", zap.Error(err))
		return
	}
	key := movesPrefix + r.Service
	next, err := m.instance.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		// The watch delivers the record that is in the store.
		m.instance.config.Log.Info("writing move record failed", zap.String("service", r.Service), zap.Error(err))
		return
	}
	m.applyRecord(store.Item{Key: key, Value: value, Revision: next})
}

// reportStatus writes the status that the operator reads. It returns false if the
// status must be written again. A conflict is not retried; none is expected,
// because the commit has no conditions.
func (m *mover) reportStatus(ctx context.Context, r moveRecord, state MoveState) bool {
	if _, ok := m.instance.duty.Fence(); !ok {
		return false
	}
	key, value, err := m.instance.config.Format.EncodeMoveStatus(r.Service, r.To, state)
	if err == nil {
		_, err = m.instance.config.Store.Commit(ctx, store.Commit{Puts: []store.Put{{Key: key, Value: value}}})
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		m.instance.config.Log.Info("writing move status failed", zap.String("service", r.Service), zap.Error(err))
		return false
	}
	m.instance.config.Log.Info("move status reported", zap.String("service", r.Service), zap.String("to", r.To), zap.String("state", string(state)))
	return true
}
