package connlimit

import "bytes"

const (
	// headSlack is what may be read beyond the end of a head, in bytes: net/http reads
	// that much at once, so that the first bytes of a body are counted too.
	headSlack = 4 << 10
	// byteCost and lineCost are the memory that a byte and a line of a head take, in
	// bytes: the buffer, the header's map and its copy for the backend server.
	byteCost, lineCost = 2, 160
)

// head counts what was read of the head of a request. Its zero value is empty.
type head struct {
	bytes int64
	lines int
}

// add counts bytes of the head.
func (h *head) add(p []byte) {
	h.bytes += int64(len(p))
	h.lines += bytes.Count(p, []byte{'\n'})
}

// cost returns the memory that the request takes for its head, in bytes.
func (h *head) cost() int64 { return h.bytes*byteCost + int64(h.lines)*lineCost }

// exceeds returns why the head exceeds the limits, or an empty Reason.
func (h *head) exceeds(l *Limits) Reason {
	switch {
	case l.HeadBytes > 0 && h.bytes > l.HeadBytes+headSlack:
		return HeadTooLarge
	case l.HeadLines > 0 && h.lines > l.HeadLines+headSlack/minLineBytes:
		return HeadTooManyLines
	}
	return ""
}
