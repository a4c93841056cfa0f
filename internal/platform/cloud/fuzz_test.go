package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
)

// fixedResponse is an http.RoundTripper that returns the same body for each request.
type fixedResponse []byte

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(f)), Request: r}, nil
}

// Guards against a response body that panics the client, and against an invalid
// body that advances the sequence number past notices that were not read.
func FuzzNotices(f *testing.F) {
	for _, body := range []string{
		`{"next":3,"notices":[{"sequence":3,"instance":"engine-0","deadline":"2026-12-04T08:00:00Z"}]}`,
		`{"next":-1,"notices":null}`, `{"notices":[{"deadline":"soon"}]}`, `{"next":1e30}`, `{"next":9,"notices":[`, "",
		`{"next":3,"notices":[{"sequence":1e999,"instance":"a"}]}`, `{"next":3,"notices":[{"sequence":3,"deadline":"99999-12-04T08:00:00Z"}]}`,
		`{"next":9223372036854775807,"notices":[{"sequence":-9223372036854775808,"instance":"a/b\r\n"}]}`, `{"next":3,"notices":[[[[[[[[[[]]]]]]]]]]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := New(Config{Address: "127.0.0.1:1", Client: &http.Client{Transport: fixedResponse(body)}})
		notices, next, err := c.Notices(context.Background(), 2)
		if err == nil && !json.Valid(body) {
			t.Errorf("invalid body %q is accepted as %d notices", body, len(notices))
		}
		if err != nil && (notices != nil || next != 2) {
			t.Errorf("body %q: error %v with %d notices and next %d, want next 2", body, err, len(notices), next)
		}
	})
}
