package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// manyClients is the number of connections of most attacks: fewer than the
	// descriptors of an instance.
	manyClients = 250
	// excessClients is the number of connections of attacks on the descriptors.
	excessClients = 700
	// legalHead is the size of the largest legal head, in bytes.
	legalHead = 16_000
	// endlessBytes is what a client sends of something without end.
	endlessBytes = 256 << 10
	// attackTime bounds the time in which the clients of an attack send.
	attackTime = 2 * time.Second
)

// attack is the open connections of hostile clients.
type attack struct {
	mu    sync.Mutex
	conns []net.Conn
}

// dial opens a connection, which stays open until the end of the test. It returns nil if
// the instance accepts none.
func (a *attack) dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, attackTime)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(attackTime))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns = append(a.conns, conn)
	return conn
}

// close closes all connections.
func (a *attack) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}

// play opens connections, on each of which send is called. All stay open. An error of send
// is ignored: an instance may close the connection.
func play(t *testing.T, address string, clients int, send func(n int, conn net.Conn)) {
	t.Helper()
	a := new(attack)
	t.Cleanup(a.close)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			if conn := a.dial(address); conn != nil {
				send(n, conn)
			}
		})
	}
	wg.Wait()
}

// sendAll returns a function that sends data.
func sendAll(data string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, data) }
}

// sendAndRead returns a function that sends data and reads what comes in the meantime.
func sendAndRead(data string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, _ = io.WriteString(conn, data)
	}
}

// shortName returns a header name of two bytes.
func shortName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{letters[n%len(letters)], letters[n/len(letters)%len(letters)]})
}

// repeat calls line with growing numbers and returns what it returns, up to size bytes.
func repeat(size int, line func(n int) string) string {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		b.WriteString(line(n))
	}
	return b.String()
}

// lines are odd header lines by what is odd about them.
var lines = []struct {
	name string
	line func(n int) string
}{
	{"one-byte names with empty values", func(n int) string { return string(rune('a'+n%26)) + ":\r\n" }},
	{"short names", func(n int) string { return shortName(n) + ":\r\n" }},
	{"names of three bytes", func(n int) string { return shortName(n) + shortName(n / 1296)[:1] + ":\n" }},
	{"one name", func(int) string { return "X-Wasabiworks-Tokens: 1\r\n" }},
	{"odd spacing", func(n int) string { return shortName(n) + ": \t \t x \t\r\n" }},
}

// attackCase is an attack and the ordinary request that must be answered while the
// connections of the attack are still open.
type attackCase struct {
	name string
	play func(t *testing.T, s *system)
}

// attacks are played against each program.
func attacks() []attackCase {
	var cases []attackCase
	for _, l := range lines {
		cases = append(cases, attackCase{"legal heads of " + l.name + " and a body that does not come", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+"Content-Length: 100000\r\n"+repeat(legalHead-len(s.requestHead)-100, l.line)+"\r\nbody"))
		}})
	}
	for _, l := range lines[2:4] {
		cases = append(cases, attackCase{"heads without end of " + l.name, func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAndRead(s.requestHead+repeat(endlessBytes, l.line)))
		}}, attackCase{"unfinished heads of 60 KB of " + l.name, func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+repeat(60_000, l.line)))
		}})
	}
	return append(cases, []attackCase{
		{"a header line without end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAndRead(s.requestHead+"X-Long: "+strings.Repeat("x", endlessBytes)))
		}},
		{"a request line without end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAndRead("GET /"+strings.Repeat("x", endlessBytes)))
		}},
		{"empty lines without end before a request", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAndRead(strings.Repeat("\r\n", endlessBytes/2)))
		}},
		{"empty lines without end after a request", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAndRead(s.requestHead+"Content-Length: 0\r\n\r\n"+strings.Repeat("\r\n", endlessBytes/2)))
		}},
		{"large bodies that stop just short of their end", func(t *testing.T, s *system) {
			head := s.requestHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", s.maxBody)
			play(t, s.clients, manyClients, sendAll(head+strings.Repeat("z", s.maxBody-1)))
		}},
		{"bodies of 16 KB that stop just short of their end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+"Content-Length: 16384\r\n\r\n"+strings.Repeat("z", 16_383)))
		}},
		{"large whole bodies", func(t *testing.T, s *system) {
			head := s.requestHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", s.maxBody)
			play(t, s.clients, manyClients, sendAndRead(head+strings.Repeat("z", s.maxBody)))
		}},
		{"chunks of one byte without end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nz\r\n", endlessBytes/6)))
		}},
		{"chunk extensions without end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+"Transfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("x", endlessBytes)))
		}},
		{"trailers without end", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(s.requestHead+"Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n"+repeat(endlessBytes, lines[1].line)))
		}},
		{"connections that send nothing", func(t *testing.T, s *system) {
			play(t, s.clients, excessClients, func(int, net.Conn) {})
		}},
		{"connections that stay idle after a request", func(t *testing.T, s *system) {
			play(t, s.clients, excessClients, sendAll(s.requestHead+"Content-Length: 0\r\n\r\n"))
		}},
		{"connections to all listeners that send nothing", func(t *testing.T, s *system) {
			for _, address := range []string{s.peers, s.ready, s.operations, s.clients} {
				if address != "" {
					play(t, address, excessClients/2, func(int, net.Conn) {})
				}
			}
		}},
		{"heads without end to the other listeners", func(t *testing.T, s *system) {
			for _, address := range []string{s.peers, s.ready, s.operations} {
				if address != "" {
					play(t, address, manyClients/2, sendAll("GET / HTTP/1.1\r\nHost: x\r\n"+repeat(1<<20, lines[2].line)))
				}
			}
		}},
		{"heads that come slowly for ever", func(t *testing.T, s *system) {
			play(t, s.clients, excessClients, trickle(s.requestHead))
		}},
		{"bodies that come slowly for ever", func(t *testing.T, s *system) {
			play(t, s.clients, excessClients, trickle(s.requestHead+"Content-Length: 100000\r\n\r\n"))
		}},
		{"pipelined requests whose responses nobody reads", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(strings.Repeat(s.requestHead+"Content-Length: 0\r\n\r\n", 500)))
		}},
		{"large responses that nobody reads", func(t *testing.T, s *system) {
			play(t, s.clients, manyClients, sendAll(strings.Repeat(s.largeHead+"Content-Length: 0\r\n\r\n", 20)))
		}},
	}...)
}

// trickle returns a function that sends a start, and then a byte every 100 ms until the
// connection ends.
func trickle(start string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		if _, err := io.WriteString(conn, start); err != nil {
			return
		}
		_ = conn.SetDeadline(time.Time{})
		go func() {
			for {
				time.Sleep(100 * time.Millisecond)
				if _, err := conn.Write([]byte("a")); err != nil {
					return
				}
			}
		}()
	}
}
