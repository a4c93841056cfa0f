package logs

import (
	"io"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines is the capacity of the queue of lines to write. Lines are dropped
// while it is full. At 500 bytes a line a full queue holds 1 MB.
const maxQueuedLines = 2048

// Writer queues log lines for a goroutine that writes them. If the reader of the
// output is slow and the queue is full, Writer drops lines instead of blocking.
// It implements zapcore.WriteSyncer. Its methods are safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
	omitted prometheus.Counter // lines dropped because the queue was full
	failed  prometheus.Counter
}

// New starts a Writer to out and registers its metrics with r, unless r is nil.
// Callers must call Close to stop it.
func New(out io.Writer, r prometheus.Registerer) (*Writer, error) {
	w := &Writer{
		lines:   make(chan []byte, maxQueuedLines),
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

// Write queues a copy of line, or drops and counts it if the queue is full. After
// Close it discards lines without counting them. It never returns an error.
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

// Sync implements zapcore.WriteSyncer. It does nothing; queued lines may still be
// unwritten when it returns.
func (w *Writer) Sync() error { return nil }

// Close makes the writer discard further lines and waits until all queued lines
// have been written, without a time limit if the output blocks. It does not close
// the output. It always returns nil.
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
