package services

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != reply.RequestIDHeader && name != reply.OutcomeHeader && name != ReplayedHeader {
			to[name] = values
		}
	}
}

// markFailure sets the outcome header of a response to unknown if its status is
// a server error.
func markFailure(h http.Header, status int) {
	if status >= http.StatusInternalServerError {
		h.Set(reply.OutcomeHeader, reply.OutcomeUnknown)
	}
}

func (s *Server) setWriteDeadline(controller *http.ResponseController) {
	controller.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
}

// writeResponse writes the response to the client: first bodyStart, the part of the
// body that was read already, then the rest of res.Body. It keeps the response in
// shared if shared is not nil and the body has at most maxSharedBody bytes.
func (s *Server) writeResponse(w http.ResponseWriter, a *admittedCall, res *http.Response, bodyStart []byte, shared *sharedResponse) {
	controller := http.NewResponseController(w)
	copyHeader(w.Header(), res.Header)
	markFailure(w.Header(), res.StatusCode)
	w.WriteHeader(res.StatusCode)
	body := io.MultiReader(bytes.NewReader(bodyStart), res.Body)
	kept, err := s.relay(w, controller, body, shared != nil)
	if err == nil {
		if shared != nil && kept != nil {
			shared.status, shared.header, shared.body = res.StatusCode, res.Header, kept
		}
		return
	}
	a.record.Failed = a.record.Failed || !errors.Is(err, errClientWrite)
	a.record.Outcome, a.record.Code = reply.OutcomeUnknown, "response_cut"
	abort(controller)
}

var (
	errClientWrite = errors.New("client disconnected or stopped reading")
	errTooLarge    = errors.New("response body exceeds the limit")
)

// relay copies a body to the client as it arrives. It returns the body if
// keepBody is set and the body has at most maxSharedBody bytes, and nil otherwise.
func (s *Server) relay(w http.ResponseWriter, controller *http.ResponseController, body io.Reader, keepBody bool) ([]byte, error) {
	buf, kept, total := make([]byte, 32<<10), []byte{}, int64(0)
	for {
		n, err := body.Read(buf)
		if total += int64(n); total > s.config.MaxResponse {
			return nil, errTooLarge
		}
		if n > 0 {
			s.setWriteDeadline(controller)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, errClientWrite
			}
			controller.Flush()
		}
		if keepBody = keepBody && total <= maxSharedBody; keepBody {
			kept = append(kept, buf[:n]...)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil && !keepBody {
			return nil, nil
		}
		if err != nil {
			return kept, nil
		}
	}
}

// abort closes the client's connection, so that a truncated response does not
// look complete.
func abort(controller *http.ResponseController) {
	if conn, _, err := controller.Hijack(); err == nil {
		conn.Close()
	}
}
