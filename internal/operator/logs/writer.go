package logs

import (
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// pending is the number of lines that may wait for a slow reader; more are
// left out. At 500 bytes a line they hold 1 MB.
const pending = 2048

// Writer hands lines to a goroutine that writes them. A full pipe costs lines,
// not time. It implements zapcore.WriteSyncer; its methods are safe for
// concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
	omitted prometheus.Counter
	failed  prometheus.Counter
}

// New returns a writer to out; Close stops it.
func New(out io.Writer, r prometheus.Registerer) (*Writer, error) {
	w := &Writer{
		lines:   make(chan []byte, pending),
		done:    make(chan struct{}),
		omitted: prometheus.NewCounter(prometheus.CounterOpts{Name: "log_lines_omitted_total", Help: "Log lines left out because their reader is slow."}),
		failed:  prometheus.NewCounter(prometheus.CounterOpts{Name: "log_writes_failed_total", Help: "Log lines that could not be written."}),
	}
	if r != nil {
		for _, c := range []prometheus.Collector{w.omitted, w.failed} {
			if err := r.Register(c); err != nil {
				return nil, err
			}
		}
	}
	go w.run(out)
	return w, nil
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			w.failed.Inc()
		}
	}
}

// Write takes a line or leaves it out; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.omitted.Inc()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait.
func (w *Writer) Sync() error { return nil }

// Close writes the lines that wait and stops the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}
