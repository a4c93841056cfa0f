package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against malformed requests that cause a panic in the fake engine or
// leak a slot or an attempt.
func TestMalformedRequests(t *testing.T) {
	scalar := rapid.OneOf(
		rapid.Just[any](nil),
		rapid.Map(rapid.Int64(), func(v int64) any { return v }),
		rapid.Map(rapid.String(), func(v string) any { return v }),
		rapid.Map(rapid.SliceOfN(rapid.StringN(0, 3, 9), 0, 3), func(v []string) any { return v }),
	)
	field := rapid.SampledFrom([]string{
		"request", "entry", "version", "prompt", "max-tokens", "from", "prefix-tokens", "import",
		"fence", "versions", "role", "attempt", "tokens", "kind", "value", "until", "other",
	})
	targets := []string{"POST /generate", "DELETE /generate/a", "PUT /kv-cache/a", "GET /kv-cache/a", "PUT /state", "GET /cache-events?after=x", "POST /faults"}
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{Exit: func() {}})
		for range 5 {
			method, path, _ := strings.Cut(rapid.SampledFrom(targets).Draw(t, "target"), " ")
			body, err := json.Marshal(rapid.MapOf(field, scalar).Draw(t, "body"))
			if err != nil {
				t.Fatal(err)
			}
			r := httptest.NewRequest(method, path, strings.NewReader(string(body)))
			r.Header.Set("Attempt", "a")
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			if w.Code == http.StatusInternalServerError {
				t.Errorf("%s %s with %s: status 500: %s", method, path, body, w.Body)
			}
		}
		if running, queued := s.scheduler.load(); running+queued+len(s.attempts) != 0 {
			t.Errorf("%d running, %d queued and %d attempts are left", running, queued, len(s.attempts))
		}
	})
}
