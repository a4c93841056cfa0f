package openai

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// Guards against an engine that sends tokens without end, beyond those that were asked
// for, until the memory of the instance is full.
func TestTokensWithoutEndAreCut(t *testing.T) {
	s := newTestServer(t, 1, func(c *Config) { c.MaxTokens = 64 })
	s.engines[0].fault.Store(&fault{kind: "flood"})
	done := make(chan int, 1)
	go func() {
		res, _ := s.post(t, "/v1/chat/completions", chatBody("a", false))
		done <- res.StatusCode
	}()
	select {
	case status := <-done:
		if status != http.StatusBadGateway {
			t.Errorf("got status %d, want 502", status)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer after 5 s")
		s.CloseClientConnections()
	}
	if tokens := s.lastRequest(t).GeneratedTokens; tokens > 64 {
		t.Errorf("%d tokens were taken, want at most the 64 asked for", tokens)
	}
}

// Guards against texts of responses that together fill the memory of the instance, and
// against an engine that is blamed for that.
func TestTextsOfResponsesAreBoundedTogether(t *testing.T) {
	responses := limit.NewMemory(limit.MemoryConfig{Bytes: 1 << 20})
	s := newTestServer(t, 1, func(c *Config) { c.Responses = responses })
	s.engines[0].fault.Store(&fault{kind: "flood"}) // 4096 tokens of 16 KiB
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			res, body := s.post(t, "/v1/chat/completions", chatBody(fmt.Sprint("r", n), false))
			var e struct{ Error struct{ Code string } }
			if err := json.Unmarshal([]byte(body), &e); err != nil || res.StatusCode != http.StatusBadGateway || e.Error.Code != "memory_full" {
				t.Errorf("got status %d with %.200s, want 502 with memory_full", res.StatusCode, body)
			}
		})
	}
	wg.Wait()
	if used := responses.Used(); used != 0 {
		t.Errorf("%d bytes in use at the end, want 0", used)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.Failed {
			t.Errorf("attempt %+v counts against its version", a)
		}
	}
}

// Guards against request bodies that together fill the memory of the instance, and
// against other requests that are refused with them.
func TestRequestBodiesAreBoundedTogether(t *testing.T) {
	const clients, size, slack = 60, 1000 << 10, 12 << 20
	requests := limit.NewMemory(limit.MemoryConfig{Bytes: 4 << 20})
	s := newTestServer(t, 1, func(c *Config) { c.Requests = requests })
	before := heapBytes()
	for range clients {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, size, strings.Repeat(" ", size-1))
	}
	eventually(t, "the memory is full", func() bool { return requests.Used() > 3<<20 })
	time.Sleep(200 * time.Millisecond) // for the instance to read what was sent
	if held := heapBytes() - before; held > slack {
		t.Errorf("%d stalled bodies hold %d MiB, want at most %d", clients, held>>20, slack>>20)
	}
	body := chatBody("a", false)
	if res, answer := s.post(t, "/v1/chat/completions", body+strings.Repeat(" ", 100<<10)); res.StatusCode != http.StatusOK {
		t.Errorf("request of 100 KiB: got status %d with %.200s, want 200", res.StatusCode, answer)
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
