package instances

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
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {"1"}}, Body: io.NopCloser(bytes.NewReader(f)), Request: r}, nil
}

// Guards against a response body that panics the client, and against an invalid
// body that is accepted as a list.
func FuzzList(f *testing.F) {
	for _, body := range []string{
		`{"revision":1,"instances":[{"id":"entry-0","role":"entry","state":"live","price":0.12}]}`,
		`{"instances":[{},{"id":"a"},{"id":"a"},null]}`, `{"instances":null}`, `{"instances":[{"price":"x"}]}`, `{"instances":[`, "",
		`{"revision":1e999,"instances":[]}`, `{"instances":[{"id":"a","price":1e999}]}`, `{"instances":[{"id":"a","address":"10.0.0.1:70000"}]}`,
		`{"instances":[{"id":"a\r\nb/c","role":"odd","state":7}]}`, `{"instances":[[[[[[[[[[]]]]]]]]]]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := New(Config{Address: "127.0.0.1:1", Client: &http.Client{Transport: fixedResponse(body)}})
		list, err := c.List(context.Background())
		if err == nil && !json.Valid(body) {
			t.Errorf("invalid body %q is accepted as %d instances", body, len(list))
		}
		if err != nil && (list != nil || c.cached.Load() != nil) {
			t.Errorf("body %q: got list %v with error %v, want no list returned or cached", body, list, err)
		}
	})
}
