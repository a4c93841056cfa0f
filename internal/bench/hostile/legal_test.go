package hostile

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

// Guards against limits that refuse a legal request in calm conditions: a head of the
// largest size made of the shortest lines, and a body of the largest size that comes slowly.
func TestLegalExtremes(t *testing.T) {
	const pieces = 64
	for _, program := range []struct {
		name  string
		start func(*testing.T) *system
	}{{"forward", startForward}, {"serve", startServe}} {
		t.Run(program.name, func(t *testing.T) {
			s := program.start(t)
			lines := repeat(legalHead-len(s.requestHead)-100, lines[0].line)
			if got := s.send(t, s.requestHead+"Content-Length: 0\r\n"+lines+"\r\n"); got != http.StatusOK {
				t.Errorf("head of short lines: got status %d, want 200", got)
			}
			body := []string{strings.ReplaceAll(s.requestHead, ": hostile", ": slow") + fmt.Sprintf("Content-Length: %d\r\n\r\n", s.maxBody)}
			for range pieces {
				body = append(body, strings.Repeat("z", s.maxBody/pieces))
			}
			if got := s.send(t, body...); got != http.StatusOK {
				t.Errorf("slow body of %d bytes: got status %d, want 200", s.maxBody, got)
			}
			s.checkBounds(t)
		})
	}
}

// piecePause is the pause after each piece of a request.
const piecePause = 5 * time.Millisecond

// send sends the pieces of a request with a pause after each, and returns the status of the
// response, or 0 if there is none.
func (s *system) send(t *testing.T, pieces ...string) int {
	t.Helper()
	conn, err := net.Dial("tcp", s.clients)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	for _, p := range pieces {
		_, _ = io.WriteString(conn, p) // a failure shows in the response
		time.Sleep(piecePause)
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}
