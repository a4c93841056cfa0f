package forward

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a status of a server in trouble that ends the handler with a
// panic, so that the client gets no response.
func TestInvalidStatusIsAnswered(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "999"} {
		t.Run(status, func(t *testing.T) {
			s := serveRaw(t, func(c *rawConn) {
				for id := c.readRequest(); id != ""; id = c.readRequest() {
					c.send("HTTP/1.1 " + status + " X\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			f := newForwarder(t, 1000, 2*time.Second, s)
			if r := call(t, f, http.MethodPost, "/book/", "r1"); r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout {
				t.Errorf("got status %d with %q, want 502 or 504", r.status, r.body)
			}
		})
	}
}
