package services

import (
	"context"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/backend/service"
)

// attempt sends the call to the server that pickServer chose. The caller must
// call ended when it has read the body, or after an error.
func (s *Server) attempt(ctx context.Context, a *admittedCall, attemptID string) (res *http.Response, ended func(), err error) {
	leaving := s.config.Fleet.AttemptStarted(a.server.ID)
	backend := a.server.ID
	ended = func() { s.config.Fleet.AttemptEnded(backend) }
	started := s.config.Now()
	res, err = s.config.Client.Do(ctx, &service.Call{Address: a.server.Address, Method: a.method, Target: a.target, Header: a.header,
		Body: a.body, Attempt: attemptID, Repeatable: a.repeatable})
	if err == nil {
		a.record.Ran = true
		a.record.FirstByte = s.config.Now().Sub(started)
		a.record.Failed = res.StatusCode >= http.StatusInternalServerError
		objective := a.entry.Objective.FirstToken
		a.record.Slow = objective > 0 && a.record.FirstByte > objective
		return res, ended, nil
	}
	a.exclude = append(a.exclude, backend)
	if service.IsNotRun(err) {
		// Retry budgets keep retries from adding load to servers that are
		// overloaded. A server that is leaving or could not be reached is no
		// sign of overload, so the next attempt needs no budget.
		a.retryIsFree = service.Reason(err) == "leaving" || service.Reason(err) == service.ReasonDial
		if ctx.Err() == nil {
			s.config.Fleet.RecordFailure(backend, service.Reason(err))
		}
		return nil, ended, err
	}
	if ctx.Err() == nil {
		a.record.Ran, a.record.Failed = true, true
		s.recordLost(a, leaving)
	}
	return nil, ended, err
}

// recordLost records that a server gave no response. If the server was leaving,
// the loss is attributed to its reclaim and is not evidence against the version.
func (s *Server) recordLost(a *admittedCall, leaving <-chan struct{}) {
	select {
	case <-leaving:
		a.record.Excused = ExcusedReclaim
		a.retryIsFree = true
	default:
		a.record.Excused = ""
		s.config.Fleet.RecordFailure(a.server.ID, "failed")
	}
}
