package tcp

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// Guards against a write that starts after nothing was reported as sent, and
// against writes of an earlier request on the same connection that count for
// this one.
func TestNothingClosesTheConnectionToWrites(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	got := make(chan int, 10)
	go func() {
		buf := make([]byte, 10)
		for {
			n, err := theirs.Read(buf)
			if err != nil {
				return
			}
			got <- n
		}
	}()
	c := &conn{Conn: ours}
	var first, second, other Sent
	first.got(httptrace.GotConnInfo{Conn: c})
	_, err := c.Write([]byte("a"))
	is.NoErr(err)
	is.Equal(<-got, 1)
	is.True(!first.Nothing())
	second.got(httptrace.GotConnInfo{Conn: c, Reused: true})
	is.True(second.Nothing())
	_, err = c.Write([]byte("late"))
	is.Equal(err, errSealed)
	is.Equal(len(got), 0)
	other.got(httptrace.GotConnInfo{Conn: ours}) // not of NewTransport
	is.True(!other.Nothing())
	var none Sent
	is.True(none.Nothing())
}
