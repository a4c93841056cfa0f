package services

import (
	"context"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/backend/service"
)

// attempt calls the picked server. ended must be called once the body has
// been read or there was an error.
func (s *Server) attempt(ctx context.Context, a *admitted, id string) (res *http.Response, ended func(), err error) {
	leaving := s.c.Fleet.Began(a.slot.ID)
	backend := a.slot.ID
	ended = func() { s.c.Fleet.Ended(backend) }
	begun := s.c.Now()
	res, err = s.c.Client.Do(ctx, &service.Call{Address: a.slot.Address, Method: a.method, Target: a.target, Header: a.header,
		Body: a.body, Attempt: id, Repeatable: a.repeatable})
	if err == nil {
		a.record.Ran = true
		a.record.FirstByte = s.c.Now().Sub(begun)
		a.record.Failed = res.StatusCode >= http.StatusInternalServerError
		limit := a.entry.Objective.FirstToken
		a.record.Slow = limit > 0 && a.record.FirstByte > limit
		return res, ended, nil
	}
	a.exclude = append(a.exclude, backend)
	if service.IsNotRun(err) {
		// A server that could not be reached received nothing, so another
		// attempt adds no load to it.
		a.free = service.Reason(err) == "leaving" || service.Reason(err) == service.ReasonDial
		if ctx.Err() == nil {
			s.c.Fleet.Refused(backend, service.Reason(err))
		}
		return nil, ended, err
	}
	if ctx.Err() == nil {
		a.record.Ran, a.record.Failed = true, true
		s.lost(a, leaving)
	}
	return nil, ended, err
}

// lost notes a server that gave no response. A loss to a reclaim is no
// evidence against the version.
func (s *Server) lost(a *admitted, leaving <-chan struct{}) {
	select {
	case <-leaving:
		a.record.Excused = ExcusedReclaim
		a.free = true
	default:
		a.record.Excused = ""
		s.c.Fleet.Refused(a.slot.ID, "failed")
	}
}
