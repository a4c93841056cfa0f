package propagation

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxValueSize is the maximum size of a decompressed value in bytes. The store rejects larger
// values.
const maxValueSize = 1 << 20

// Compress compresses a value of the store for transfer to peers. Catalogues and
// configurations compress well because names and field names repeat.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return b.Bytes()
}

// Decompress returns a value that a peer has compressed. It returns an error if the value is
// larger than the store allows.
func Decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress value: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxValueSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress value: %w", err)
	}
	if len(data) > maxValueSize {
		return nil, fmt.Errorf("decompress value: more than %d bytes", maxValueSize)
	}
	return data, nil
}
