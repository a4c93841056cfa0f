package scaling

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// counters holds sums by name and is safe for concurrent use. Related names have
// a common prefix, such as "digest.loads" and "digest.demands".
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

// Window holds the measurements of one interval. Rates are per second: CPU time
// in cores, traffic and encoded sizes in bytes, and counts of calls and records.
type Window struct {
	Seconds float64            `json:"seconds"`
	Rates   map[string]float64 `json:"rates"`
	// RSS is the resident memory at the end of the interval, Peak its maximum
	// since the process started, both in bytes.
	RSS  float64 `json:"rss"`
	Peak float64 `json:"peak"`
}

// measureWindow calls during, if it is not nil, and measures a process until both
// during has returned and the duration d has passed.
func (c *counters) measureWindow(pid int, d time.Duration, during func()) (w Window, err error) {
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

// countingListener counts the bytes of its connections under name, from the point
// of view of the measured process: bytes read here are counted as sent.
type countingListener struct {
	net.Listener
	counters *counters
	name     string
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.counters, l.name}, nil
}

// countingConn counts the bytes of a connection between this process and the
// measured process, from the point of view of the measured process: bytes read
// here are counted under name.sent, bytes written here under name.received. It
// serves accepted and dialed connections.
type countingConn struct {
	net.Conn
	counters *counters
	name     string
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.add(c.name+".sent", float64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.add(c.name+".received", float64(n))
	return n, err
}

// countTraffic counts the calls by method and the bytes of the response bodies, both
// by the first segment of the path.
func countTraffic(c *counters, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		segment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		c.add("calls."+r.Method+"-"+segment, 1)
		next.ServeHTTP(countingWriter{w, c, "body." + segment}, r)
	})
}

type countingWriter struct {
	http.ResponseWriter
	counters *counters
	name     string
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.counters.add(w.name, float64(len(p)))
	return w.ResponseWriter.Write(p)
}
