package openai

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
)

// replay is an engine without a network: it returns n frames at once, or one
// read at a time, so that the system's own time per token shows.
type replay struct {
	n   int
	one bool
}

func (p replay) RoundTrip(r *http.Request) (*http.Response, error) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt")
	lines := make([]string, p.n)
	for i := range lines {
		lines[i] = `{"attempt":"` + id + `","index":` + strconv.Itoa(i) + `,"token":"vudigo "}` + "\n"
	}
	lines[p.n-1] = strings.Replace(lines[p.n-1], `"}`, `","finish":"stop","usage":{"prompt":3}}`, 1)
	body := &lineReader{lines: lines, one: p.one}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Request: r}, nil
}

type lineReader struct {
	lines []string
	one   bool
}

func (l *lineReader) Read(p []byte) (n int, err error) {
	for len(l.lines) > 0 && n+len(l.lines[0]) <= len(p) && (n == 0 || !l.one) {
		n += copy(p[n:], l.lines[0])
		l.lines = l.lines[1:]
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// sinkWriter is a client without a network.
type sinkWriter struct{ header http.Header }

func (w *sinkWriter) Header() http.Header         { return w.header }
func (w *sinkWriter) WriteHeader(int)             {}
func (w *sinkWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *sinkWriter) FlushError() error           { return nil }

func benchmark(b *testing.B, tokens int, one, stream bool) {
	s := newSystem(b, 1, func(c *Config) {
		c.Engine = engine.New(engine.Config{Transport: replay{tokens, one}})
	})
	payload := body("how many sacks of rice", stream)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequestWithContext(context.Background(), "POST", "/v1/chat/completions", strings.NewReader(payload))
		r.Header.Set("Authorization", "Bearer "+testToken)
		s.server.ServeHTTP(&sinkWriter{http.Header{}}, r)
		s.requests, s.attempts = s.requests[:0], s.attempts[:0]
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

func BenchmarkRequest(b *testing.B)      { benchmark(b, 1, true, true) }
func BenchmarkStream1000(b *testing.B)   { benchmark(b, 1000, true, true) }
func BenchmarkBuffered1000(b *testing.B) { benchmark(b, 1000, false, true) }
func BenchmarkWhole1000(b *testing.B)    { benchmark(b, 1000, true, false) }
