package engine

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkGenerate measures how many tokens per second the fake engine can
// send, so that its limit is not mistaken for that of the system under test.
func BenchmarkGenerate(b *testing.B) {
	s := New(Config{Slots: 64})
	body := `{"prompt":"` + words(200) + `","max-tokens":100}`
	tokens := 0
	for b.Loop() {
		r := httptest.NewRequest("POST", "/generate", strings.NewReader(body))
		r.Header.Set("Attempt", "a")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		tokens += strings.Count(w.Body.String(), "\n")
	}
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
}
