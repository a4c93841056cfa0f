package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixedResponse is a transport that returns the same body for each request.
type fixedResponse []byte

// RoundTrip implements http.RoundTripper.
func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(f)), ContentLength: -1, Request: r}, nil
}

// Guards against response bodies that cause a panic, against frames that are
// delivered out of order, twice or from another attempt, and against a fast path
// of parseFrame that differs from encoding/json.
func FuzzFrames(f *testing.F) {
	for _, body := range []string{
		`{"attempt":"a-1","index":2,"token":"x "}` + "\n" + `{"attempt":"a-1","index":3,"token":"y ","finish":"stop","usage":{"prompt":1}}` + "\n",
		`{"attempt":"a-1","index":3,"token":"y "}` + "\n" + `{"attempt":"a-1","index":2,"token":"x "}` + "\n" + `{"attempt":"a-1","index":2,"token":"x "}`,
		`{"attempt":"other","index":2,"token":"x "}` + "\n", `{"attempt":"a-1","index":-1}`, `{"attempt":"a-1","index":2,"token":"\ud800"}`, "{}\n[]\nnull\n", "",
	} {
		f.Add([]byte(body), 2)
	}
	f.Fuzz(func(t *testing.T, body []byte, from int) {
		for line := range bytes.Lines(body) {
			var got, want Frame
			gotErr, wantErr := parseFrame(line, "a-1", &got), json.Unmarshal(line, &want)
			if (gotErr == nil) != (wantErr == nil) || wantErr == nil && !cmp.Equal(got, want) {
				t.Errorf("frame %q: got %+v (%v), want %+v (%v)", line, got, gotErr, want, wantErr)
			}
		}
		if from < 0 || from > 1<<20 {
			return // From is the caller's own count of tokens, not the engine's
		}
		next, finished := from, false
		err := New(Config{Transport: fixedResponse(body)}).Generate(context.Background(), &Attempt{ID: "a-1", Address: "127.0.0.1:1", From: from}, func(fr Frame) error {
			if fr.Attempt != "a-1" || fr.Index != next || finished {
				t.Errorf("got frame %+v, want index %d of a-1, after the last frame: %v", fr, next, finished)
			}
			next++
			finished = fr.Finish != ""
			return nil
		})
		if (err == nil) != finished {
			t.Errorf("error %v after %d frames, finished: %v", err, next-from, finished)
		}
	})
}

// Guards against a load report that causes a panic, that is read past its size
// limit, or whose value changes when it is encoded again.
func FuzzLoad(f *testing.F) {
	for _, body := range []string{
		`{"running":1,"queued":2,"capacity":16,"versions":["v1"],"state":"live","crashes":0,"incarnation":"a","at":"2026-12-04T08:00:00Z"}`,
		`{"running":-1,"capacity":1e3,"versions":null}`, `{"at":"yesterday"}`, `{"versions":[null]}`, `null`, `{`, "",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := New(Config{Transport: fixedResponse(body)}).LoadReport(context.Background(), "127.0.0.1:1")
		if err != nil {
			return
		}
		data, err := json.Marshal(l)
		if err != nil {
			t.Fatalf("report %q cannot be encoded again: %v", body, err)
		}
		var decoded LoadReport
		if err := json.Unmarshal(data, &decoded); err != nil || !cmp.Equal(l, decoded) {
			t.Errorf("report %q: got %+v, then %+v (%v)", body, l, decoded, err)
		}
	})
}
