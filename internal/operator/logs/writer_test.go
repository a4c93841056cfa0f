package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

// Guards against a request that waits for a log line, and against lines that
// vanish without a count.
func TestSlowReaderCostsLinesOnly(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w, err := New(out, nil)
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * pending
	for range lines { // returns although nothing is read
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("got %d and %v, want 5 and no error", n, err)
		}
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.got.String(), "\n")
	if omitted := int(testutil.ToFloat64(w.omitted)); written+omitted != lines || written < pending {
		t.Errorf("got %d lines written and %d left out, want %d together and %d written at least", written, omitted, lines, pending)
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Errorf("write after close: %v", err)
	}
}
