package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// blockedWriter is an io.Writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

// Guards against a Write that blocks while the output is blocked, so that requests
// wait for a log line, and against dropped lines that are not counted.
func TestWriteDropsLinesInsteadOfBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w, err := New(out, nil)
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * maxQueuedLines
	for range lines { // Write returns although the output is blocked
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write = %d, %v, want 5 and no error", n, err)
		}
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.got.String(), "\n")
	if omitted := int(testutil.ToFloat64(w.omitted)); written+omitted != lines || written < maxQueuedLines {
		t.Errorf("got %d lines written and %d omitted, want %d together and %d written at least", written, omitted, lines, maxQueuedLines)
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("write after close: %v", err)
	}
}
