package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// Guards against runs that are not counted because they fail, and against
// rejected requests that are counted.
func TestRunsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, body string
		fault      fault.Fault
		wantStatus int
		wantRuns   int
	}{
		{"answered", "b", fault.Fault{}, http.StatusOK, 1},
		{"leaving", "b", fault.Fault{Kind: fault.Leave}, http.StatusServiceUnavailable, 0},
		{"failed", "b", fault.Fault{Kind: fault.Fail}, http.StatusInternalServerError, 1},
		{"failed route", "b", fault.Fault{Kind: fault.FailRoute, Value: "/bookings"}, http.StatusInternalServerError, 1},
		{"crashed", "poison", fault.Fault{Kind: fault.CrashOn, Value: "poison"}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Config{Exit: func() {}})
			if c.fault.Kind != "" {
				if err := s.Inject(c.fault); err != nil {
					t.Fatal(err)
				}
			}
			h := httptest.NewServer(s)
			defer h.Close()
			status, body := call(t, h.URL+"/bookings/1", "k", c.body)
			if status != c.wantStatus {
				t.Errorf("status is %d, want %d", status, c.wantStatus)
			}
			if want := string(answer.ServiceBody("POST", "/bookings/1", "k", []byte(c.body))); status == http.StatusOK && body != want {
				t.Errorf("body is %s, want %s", body, want)
			}
			if got := s.Runs()["k"]; got != c.wantRuns {
				t.Errorf("the request ran %d times, want %d", got, c.wantRuns)
			}
		})
	}
}

// call sends a request and returns the response's status and body; the status
// is 0 if the connection breaks.
func call(t *testing.T, url, key, body string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	// The transport retries a request with an idempotency key if the connection
	// breaks before the response. Without GetBody, it cannot.
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}
