package engine

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkGenerate shows how many tokens a fake can send, so that a
// measurement does not take its limit for that of the system.
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
