package forward

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// Guards against a path that reaches the server as another one, for example one that
// begins with two slashes as the path of another host (UNASKED).
func TestTargetReachesServerUnchanged(t *testing.T) {
	table := routes.New(routes.Table{Routes: []routes.Route{{
		Name: "all", Host: "app.example", Prefix: "/", Kind: routes.NonIdempotent, Timeout: 2 * time.Second, Objective: time.Second,
		Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 1, Public: true,
	}}, Services: []routes.Service{{Name: "service"}}})
	for _, tt := range []struct {
		target string
		status string // of a request that cannot be sent unchanged
	}{
		{"/book/1", ""},
		{"//book/payout/7", ""},
		{"//book/payout/7?x=//y", ""},
		{"//book//7?", ""},
		{"///book", ""},
		{"//book/%2F%41/", ""},
		{"//book:80/7", ""},
		{"//user@book/7", ""},
		{"/book//7?a=%zz", ""},
		{"//book/{7}", "400"},
	} {
		t.Run(tt.target, func(t *testing.T) {
			t.Parallel()
			lines := make(chan string, 1)
			s := serveRaw(t, func(c *rawConn) {
				line, err := c.reader.ReadString('\n')
				if err != nil {
					return
				}
				lines <- strings.TrimSpace(line)
				for line != "\r\n" && err == nil {
					line, err = c.reader.ReadString('\n')
				}
				c.send(answer("r1", "ok"))
			})
			f := newForwarderWith(t, func(c *Config) {
				c.View = func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }
			}, 1<<20, 2*time.Second, s)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", tt.target)
			status, err := bufio.NewReader(conn).ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if tt.status != "" {
				if !strings.Contains(status, tt.status) {
					t.Errorf("got %q, want status %s", status, tt.status)
				}
				return
			}
			select {
			case line := <-lines:
				if want := "POST " + tt.target + " HTTP/1.1"; line != want {
					t.Errorf("the server got %q, want %q", line, want)
				}
			default:
				t.Errorf("got %q, and the server got no request", status)
			}
		})
	}
}
