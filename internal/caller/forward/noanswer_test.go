package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an empty success for a request whose body could not be read.
func TestUnreadableBodyIsNotAnswered200(t *testing.T) {
	s := serveRaw(t, func(c *rawConn) {
		for id := c.readRequest(); id != ""; id = c.readRequest() {
			c.send(answer(id, "ok"))
		}
	})
	f := newForwarder(t, 1000, 2*time.Second, s)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /book/ HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nno chunk size\r\n\r\n")
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got no response (%v), want 400", err)
	}
	defer r.Body.Close()
	if body, _ := io.ReadAll(r.Body); r.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d with %q, want 400", r.StatusCode, body)
	}
	if n := s.requests.Load(); n != 0 {
		t.Errorf("the request was sent %d times, want never", n)
	}
}

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
			if r := call(t, f, http.MethodPost, "/book/", "r1"); r.status != http.StatusBadGateway {
				t.Errorf("got status %d with %q, want 502", r.status, r.body)
			}
		})
	}
}

// Guards against an empty success for a client that closes its sending side in the
// middle of the body.
func TestCutBodyIsNotAnswered200(t *testing.T) {
	f := newForwarder(t, 1000, 2*time.Second)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /book/ HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\nContent-Length: 100\r\n\r\nbegin")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(conn); err != nil || strings.Contains(string(rest), "200 OK") {
		t.Errorf("got %q and %v, want a closed connection or an error response", rest, err)
	}
}
