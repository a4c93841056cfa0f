package forward

// excused reports whether an attempt says nothing about its server and the server's version,
// because the client disconnected, its timeout left less time than the route's objective, a
// planned stop ended the attempt, or the links failed.
func (e *exchange) excused(a *attempt) bool {
	return e.canceled() || e.timedOutEarly(a) || e.failedByLinks(a)
}

// canceled reports whether the client disconnected or a planned stop ended the request.
func (e *exchange) canceled() bool { return e.r.Context().Err() != nil || e.interrupted() }

// timedOutEarly reports whether the request timed out before its server was late.
func (e *exchange) timedOutEarly(a *attempt) bool {
	now := e.config.Now()
	return !now.Before(e.deadline) && now.Sub(a.sentAt) < e.route.Objective
}

// failedByLinks reports whether an attempt may have failed because of the links of this instance
// or the instance that sent for it.
func (e *exchange) failedByLinks(a *attempt) bool { return a.peerSuspect || e.failedByPartition(a) }
