package config

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxData limits an unpacked catalogue in bytes; the store allows no more.
const maxData = 1 << 20

// Pack compresses a catalogue as peers pull it: names and field names repeat,
// so that it shrinks to a small part.
func Pack(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data) // a bytes.Buffer does not fail
	_ = w.Close()
	return b.Bytes()
}

// unpack decompresses what a peer sent.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack catalogue: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxData+1))
	if err != nil {
		return nil, fmt.Errorf("unpack catalogue: %w", err)
	}
	if len(data) > maxData {
		return nil, fmt.Errorf("unpack catalogue: more than %d bytes", maxData)
	}
	return data, nil
}
