package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// recordingVersions is a move in progress that keeps the results it is given.
type recordingVersions struct {
	mu      sync.Mutex
	results []VersionResult
}

func (*recordingVersions) Choose(string, string, uint64) VersionChoice {
	return VersionChoice{Move: "m", NewVersion: "v2", UseNewVersion: true, Step: 1}
}

func (v *recordingVersions) RecordResult(_ VersionChoice, r VersionResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.results = append(v.results, r)
}

func (v *recordingVersions) all() []VersionResult {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]VersionResult(nil), v.results...)
}

// newMovingForwarder runs an instance's handler in front of a server of the new
// version of a move, with a route "draft" for streams.
func newMovingForwarder(t *testing.T, v *recordingVersions, objective time.Duration, s *rawServer) *httptest.Server {
	t.Helper()
	table := routes.New(routes.Table{Version: 1, Routes: []routes.Route{{
		Name: "draft", Host: "app.example", Prefix: "/draft/", Kind: routes.Streaming, Timeout: 10 * time.Second, Objective: objective,
		Split: []routes.Target{{Service: "service", Weight: 1}}, Attempts: 1, Public: true,
	}}, Services: []routes.Service{{Name: "service"}}})
	workers := pool.New()
	workers.Put(pool.Registration{ID: "server-0", Service: "service", Address: s.address, Slots: 8, Version: "v2"}, time.Now())
	h, err := New(Config{
		Headers: Headers{Request: "Request-Id", Remaining: "Remaining", Key: "Key", Workspace: "Workspace", ExpectServer: "Expect-Server", NotRun: "Not-Run", ServerSeal: "Seal", Tokens: "Tokens", Prefix: "Prefix", FetchFrom: "Fetch-From"},
		View:    func() View { return View{Table: table, Confirmed: time.Now(), Fresh: true} }, Pool: workers,
		Allowances: permissive{}, Budget: permissive{}, Usage: permissive{}, Poison: permissive{}, Versions: v,
		Now: time.Now, Random: func() uint64 { return 1 }, Registerer: prometheus.NewRegistry(), Draining: func() bool { return false },
	})
	if err != nil {
		t.Fatal(err)
	}
	f := httptest.NewServer(h)
	t.Cleanup(f.Close)
	return f
}

// Guards against evidence on a slow version that comes only at the end of its
// streams, after the move has gone on without it.
func TestSlowAnswerIsRecordedBeforeItsEnd(t *testing.T) {
	const gap = 10 * time.Millisecond
	tests := []struct {
		name      string
		objective time.Duration
		events    int // before the server falls silent
		broken    bool
		want      []VersionResult // Pace is 1 if it must be known
	}{
		{"no event within the objective", 50 * time.Millisecond, 0, false, []VersionResult{{Late: true}}},
		{"enough events for a pace", 5 * time.Second, paceEvents, false, []VersionResult{{Pace: 1}}},
		{"breaks after that", 5 * time.Second, paceEvents, true, []VersionResult{{Pace: 1}, {Failed: true}}},
		{"breaks before that", 5 * time.Second, 2, true, []VersionResult{{Failed: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := serveRaw(t, func(c *rawConn) {
				defer c.Close()
				id := c.readRequest()
				if id == "" {
					return
				}
				c.send(head(id, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n")
				for n := range test.events {
					event := fmt.Sprintf("id: %d\ndata: a\n\n", n+1)
					c.send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
					time.Sleep(gap)
				}
				if !test.broken {
					<-release
				}
			})
			v := new(recordingVersions)
			f := newMovingForwarder(t, v, test.objective, s)
			done := make(chan struct{})
			go func() {
				defer close(done)
				call(t, f, http.MethodPost, "/draft/", "r1")
			}()
			for start := time.Now(); len(v.all()) < len(test.want) && time.Since(start) < 2*time.Second; {
				time.Sleep(time.Millisecond)
			}
			got := v.all()
			close(release)
			<-done
			if len(got) != len(test.want) {
				t.Fatalf("before the end of the stream: got results %+v, want %d", got, len(test.want))
			}
			for i, r := range got {
				want := test.want[i]
				if r.Late != want.Late || r.Failed != want.Failed || (r.Pace > 0) != (want.Pace > 0) || !r.New || r.Route != "draft" {
					t.Errorf("result %d: got %+v, want like %+v", i, r, want)
				}
			}
			if test.broken {
				return
			}
			for _, r := range v.all()[len(got):] {
				if !r.Failed {
					t.Errorf("after the end: got a second answer %+v", r)
				}
			}
		})
	}
}

// Guards against a version that answers with errors of the client, such as 404, where the
// old one succeeds, and is taken for a good one (EXPOSURE).
func TestOnlySuccessCountsForVersion(t *testing.T) {
	for status, failed := range map[int]bool{200: false, 204: false, 302: true, 404: true, 429: true, 500: true} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			v := new(recordingVersions)
			f := newMovingForwarder(t, v, 5*time.Second, serveRaw(t, func(c *rawConn) {
				defer c.Close()
				id := c.readRequest()
				if id == "" {
					return
				}
				c.send(fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", status, id))
			}))
			call(t, f, http.MethodPost, "/draft/", "r1")
			if got := v.all(); len(got) != 1 || got[0].Failed != failed {
				t.Errorf("got results %+v, want one with failed %v", got, failed)
			}
		})
	}
}
