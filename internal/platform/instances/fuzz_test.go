package instances

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
)

// answers is a transport that answers each request with the same body.
type answers []byte

// RoundTrip implements http.RoundTripper.
func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Etag": {"1"}}, Body: io.NopCloser(bytes.NewReader(a)), Request: r}, nil
}

// Guards against an instance list that panics, and against a damaged one that
// is taken for a list.
func FuzzList(f *testing.F) {
	for _, body := range []string{
		`{"revision":1,"instances":[{"id":"entry-0","role":"entry","state":"live","price":0.12}]}`,
		`{"instances":[{},{"id":"a"},{"id":"a"},null]}`, `{"instances":null}`, `{"instances":[{"price":"x"}]}`, `{"instances":[`, "",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := New(Config{Address: "127.0.0.1:1", Client: &http.Client{Transport: answers(body)}})
		list, err := c.List(context.Background())
		if err == nil && !json.Valid(body) {
			t.Errorf("damaged body %q is taken for %d instances", body, len(list))
		}
		if err != nil && (list != nil || c.last.Load() != nil) {
			t.Errorf("body %q: list %v is kept with error %v", body, list, err)
		}
	})
}
