package connlimit

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that net/http holds back until the body has come, although the
// handler has not read it: with our body in the request of net/http, it no longer knows
// that the client waits for 100 Continue, or that the body is too long to be read.
func TestRefusalBeforeTheBodyIsSentAtOnce(t *testing.T) {
	for _, tt := range []struct{ name, head string }{
		{"client waits for 100 Continue", "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1000\r\n\r\n"},
		{"long body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\nabc"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })}
			defer s.Close()
			g := New(Config{Limits: func() Limits { return Limits{HeadTimeout: time.Hour, BodyStall: time.Hour} }})
			go g.Serve(s, l)
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, tt.head)
			if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "401") {
				t.Errorf("got %q and error %v, want 401", line, err)
			}
		})
	}
}
