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

// replayTransport is an http.RoundTripper that answers as an engine without using
// the network. It returns the frames of a response in as few reads as possible,
// or one frame per read. The benchmarks thus measure only the time that the
// server itself takes per token.
type replayTransport struct {
	tokens   int
	oneByOne bool
}

func (p replayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt")
	lines := make([]string, p.tokens)
	for i := range lines {
		lines[i] = `{"attempt":"` + id + `","index":` + strconv.Itoa(i) + `,"token":"vudigo "}` + "\n"
	}
	lines[p.tokens-1] = strings.Replace(lines[p.tokens-1], `"}`, `","finish":"stop","usage":{"prompt":3}}`, 1)
	body := &lineReader{lines: lines, oneByOne: p.oneByOne}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Request: r}, nil
}

// lineReader returns whole lines, only one per read if oneByOne is set.
type lineReader struct {
	lines    []string
	oneByOne bool
}

func (l *lineReader) Read(p []byte) (n int, err error) {
	for len(l.lines) > 0 && n+len(l.lines[0]) <= len(p) && (n == 0 || !l.oneByOne) {
		n += copy(p[n:], l.lines[0])
		l.lines = l.lines[1:]
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) FlushError() error           { return nil }

func benchmark(b *testing.B, tokens int, oneByOne, stream bool) {
	s := newTestServer(b, 1, func(c *Config) {
		c.Engine = engine.New(engine.Config{Transport: replayTransport{tokens, oneByOne}})
	})
	payload := chatBody("how many sacks of rice", stream)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequestWithContext(context.Background(), "POST", "/v1/chat/completions", strings.NewReader(payload))
		r.Header.Set("Authorization", "Bearer "+testToken)
		s.server.ServeHTTP(&discardWriter{http.Header{}}, r)
		s.requests, s.attempts = s.requests[:0], s.attempts[:0]
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

func BenchmarkRequest(b *testing.B)      { benchmark(b, 1, true, true) }
func BenchmarkStream1000(b *testing.B)   { benchmark(b, 1000, true, true) }
func BenchmarkBuffered1000(b *testing.B) { benchmark(b, 1000, false, true) }
func BenchmarkWhole1000(b *testing.B)    { benchmark(b, 1000, true, false) }
