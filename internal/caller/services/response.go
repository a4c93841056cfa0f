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

// markFailure tells the outcome of a call that a service failed.
func markFailure(h http.Header, status int) {
	if status >= http.StatusInternalServerError {
		h.Set(reply.OutcomeHeader, reply.Unknown)
	}
}

func (s *Server) setDeadline(c *http.ResponseController) {
	c.SetWriteDeadline(time.Now().Add(s.c.WriteTimeout))
}

// writeResponse writes head and the rest of the response's body, and keeps the
// response if it is small.
func (s *Server) writeResponse(w http.ResponseWriter, a *admitted, res *http.Response, head []byte, keep *shared) {
	control := http.NewResponseController(w)
	copyHeader(w.Header(), res.Header)
	markFailure(w.Header(), res.StatusCode)
	w.WriteHeader(res.StatusCode)
	body := io.MultiReader(bytes.NewReader(head), res.Body)
	kept, err := s.relay(w, control, body, keep != nil)
	if err == nil {
		if keep != nil && kept != nil {
			keep.status, keep.header, keep.body = res.StatusCode, res.Header, kept
		}
		return
	}
	a.record.Failed = a.record.Failed || !errors.Is(err, errClient)
	a.record.Outcome, a.record.Code = reply.Unknown, "response_cut"
	abort(control)
}

var (
	errClient   = errors.New("client is gone or does not read")
	errTooLarge = errors.New("response body is too large")
)

// relay copies a body as it arrives. It returns the body if that is wanted and
// the body is small.
func (s *Server) relay(w http.ResponseWriter, control *http.ResponseController, body io.Reader, want bool) ([]byte, error) {
	buf, kept, total := make([]byte, 32<<10), []byte{}, int64(0)
	for {
		n, err := body.Read(buf)
		if total += int64(n); total > s.c.MaxResponse {
			return nil, errTooLarge
		}
		if n > 0 {
			s.setDeadline(control)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, errClient
			}
			control.Flush()
		}
		if want = want && total <= maxKeptBody; want {
			kept = append(kept, buf[:n]...)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if err != nil && !want {
			return nil, nil
		}
		if err != nil {
			return kept, nil
		}
	}
}

// abort closes the client's connection, so that a response that was cut does
// not look complete.
func abort(control *http.ResponseController) {
	if conn, _, err := control.Hijack(); err == nil {
		conn.Close()
	}
}
