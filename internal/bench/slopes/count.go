package slopes

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// counters are sums by name. Names with the same first part belong together,
// such as "digest.loads" and "digest.demands".
type counters struct {
	mu   sync.Mutex
	sums map[string]float64
}

func newCounters() *counters { return &counters{sums: make(map[string]float64)} }

func (c *counters) add(name string, n float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sums[name] += n
}

func (c *counters) snapshot() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sums)
}

// Window holds what was measured over a time. Rates are per second; the CPU
// time is in cores and all other rates of bytes are in bytes.
type Window struct {
	Seconds float64            `json:"seconds"`
	Rates   map[string]float64 `json:"rates"`
	// RSS and Peak are the resident memory at the end and its maximum, in
	// bytes.
	RSS  float64 `json:"rss"`
	Peak float64 `json:"peak"`
}

// window measures a process over d.
func (c *counters) window(pid int, d time.Duration, during func()) (w Window, err error) {
	before, start := c.snapshot(), time.Now()
	from, err := readUsage(pid)
	if err != nil {
		return w, err
	}
	if during != nil {
		during()
	}
	time.Sleep(time.Until(start.Add(d)))
	to, err := readUsage(pid)
	if err != nil {
		return w, err
	}
	w.Seconds = time.Since(start).Seconds()
	w.Rates = c.snapshot()
	for name, sum := range w.Rates {
		w.Rates[name] = (sum - before[name]) / w.Seconds
	}
	w.Rates["cpu"] = (to.cpu - from.cpu) / w.Seconds
	w.RSS, w.Peak = to.rss, to.peak
	return w, nil
}

// listener counts the bytes of its connections under name, seen from the
// measured process: what arrives here has been sent by it.
type listener struct {
	net.Listener
	counters *counters
	name     string
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.counters, l.name}, nil
}

type conn struct {
	net.Conn
	counters *counters
	name     string
}

func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.add(c.name+".sent", float64(n))
	return n, err
}

func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.add(c.name+".received", float64(n))
	return n, err
}

// bodies counts the response bodies by the first part of the path.
func bodies(c *counters, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		area, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		c.add("calls."+r.Method+"-"+area, 1)
		next.ServeHTTP(bodyWriter{w, c, "body." + area}, r)
	})
}

type bodyWriter struct {
	http.ResponseWriter
	counters *counters
	name     string
}

func (w bodyWriter) Write(p []byte) (int, error) {
	w.counters.add(w.name, float64(len(p)))
	return w.ResponseWriter.Write(p)
}
