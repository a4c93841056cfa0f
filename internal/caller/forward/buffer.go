package forward

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

const (
	// minPieceBytes and maxPieceBytes bound the size of one piece of a body. The first
	// piece is no larger than the body's announced length, and each further one has twice
	// the size of the one before.
	minPieceBytes = 512
	maxPieceBytes = 32 << 10
	// defaultMemoryBytes is the default of Config.MemoryBytes. It is raised to one response
	// of the maximum size.
	defaultMemoryBytes = 64 << 20
)

var (
	errTooLong    = errors.New("body exceeds the size limit")
	errMemoryFull = errors.New("body does not fit into the memory of the instance")
)

// body is a complete body of a request or response, in pieces: a single slice would be
// copied as it grows, and the garbage counts until it is collected.
type body struct {
	pieces [][]byte
	size   int64
}

// freePieces are pieces of the maximum size of bodies that were not read to their end. Bodies
// that are refused in great number would otherwise leave garbage faster than it is collected.
var freePieces sync.Pool

// newPiece returns an empty piece of a given size.
func newPiece(size int64) []byte {
	if size == maxPieceBytes {
		if p, ok := freePieces.Get().(*[maxPieceBytes]byte); ok {
			return p[:0]
		}
	}
	return make([]byte, 0, size)
}

// discard makes the pieces of a body, which nothing else may use, available to others.
func (b *body) discard() {
	for _, p := range b.pieces {
		if cap(p) == maxPieceBytes {
			freePieces.Put((*[maxPieceBytes]byte)(p[:maxPieceBytes]))
		}
	}
}

// readBody reads a body of at most maxBytes bytes, of which expected are announced, or
// -1. The error is errTooLong, errMemoryFull or one of r; what was read is then dropped at
// once, because the response to a refused request may take a while.
func readBody(r io.Reader, expected, maxBytes int64, held *limit.Holding) (body, error) {
	var b body
	if err := b.readFrom(r, expected, maxBytes, held); err != nil {
		b.discard()
		return body{}, err
	}
	return b, nil
}

// readFrom reads the body to its end or to an error.
func (b *body) readFrom(r io.Reader, expected, maxBytes int64, held *limit.Holding) error {
	next := int64(minPieceBytes)
	if expected >= minPieceBytes {
		next = min(maxPieceBytes, expected+1)
	}
	var allocated int64
	var piece []byte
	for {
		if len(piece) == cap(piece) {
			allocated += next
			if !held.Resize(allocated) {
				return errMemoryFull
			}
			piece = newPiece(next)
			b.pieces = append(b.pieces, piece)
			next = min(maxPieceBytes, 2*next)
		}
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		b.pieces[len(b.pieces)-1] = piece
		b.size += int64(n)
		switch {
		case b.size > maxBytes:
			return errTooLong
		case errors.Is(err, io.EOF) && held.Keep():
			return nil
		case held.Evicted():
			return errMemoryFull
		case err != nil:
			return err
		}
	}
}

// reader returns a reader of the body.
func (b *body) reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, len(b.pieces))
	for i, p := range b.pieces {
		readers[i] = bytes.NewReader(p)
	}
	return io.MultiReader(readers...)
}

// writeTo writes the body to w.
func (b *body) writeTo(w io.Writer) error {
	for _, p := range b.pieces {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}
