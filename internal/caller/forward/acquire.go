package forward

import "context"

// maxChoices bounds the choices of a server for one attempt, each of which is made
// because the server chosen before accepts no requests any longer.
const maxChoices = 8

// acquireServer returns a server for the next attempt that accepts a request right
// now. It returns false if chooseServer does, or if other requests are faster each
// time. If the request yields, the server is not acquired, and yields is true.
func (e *exchange) acquireServer(ctx context.Context) (t target, yields, ok bool) {
	for range maxChoices {
		t, ok = e.placeRequest(ctx)
		if !ok {
			return t, false, false
		}
		if e.yields(t) {
			t.claim.End()
			return t, true, true
		}
		if t.server.Acquire(e.config.Now()) {
			return t, false, true
		}
		t.claim.End()
	}
	return target{}, false, false
}
