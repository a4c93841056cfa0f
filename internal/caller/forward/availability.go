package forward

import (
	"net/http"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
)

// recordAvailability records what the headers of a response say about the
// availability of the server. They hold whatever request the response belongs to,
// because they describe the process at the other end of the connection.
func (e *exchange) recordAvailability(server *pool.Worker, r *http.Response) {
	if r.Header.Get(e.config.Headers.Leaving) == "1" && server.MarkLeaving() {
		e.config.Log.Info("backend server says that it is leaving", zap.String("server", server.ID),
			zap.String("address", server.Address), zap.Int64("incarnation", server.Incarnation))
	}
}
