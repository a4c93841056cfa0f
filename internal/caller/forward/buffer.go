package forward

import (
	"errors"
	"sync/atomic"
)

const (
	// minInitialBuffer and maxInitialBuffer bound the size of the first buffer for
	// a response, in bytes, whatever length the server announces.
	minInitialBuffer = 512
	maxInitialBuffer = 32 << 10
	// maxBufferedResponses is the number of responses of the maximum size that may
	// be buffered at once.
	maxBufferedResponses = 16
)

var errResponseTooLong = errors.New("response exceeds the size limit")

// byteBudget limits the bytes that all requests buffer together. It is safe for
// concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take adds n bytes and reports whether all bytes are within the limit. The bytes
// must be released even if they are not.
func (b *byteBudget) take(n int) bool { return b.used.Add(int64(n)) <= b.limit }

func (b *byteBudget) release(n int) { b.used.Add(-int64(n)) }
