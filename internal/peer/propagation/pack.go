package propagation

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxCatalogueSize is the maximum size of a decompressed catalogue in bytes. The
// store rejects larger values.
const maxCatalogueSize = 1 << 20

// Compress compresses a catalogue for transfer to peers. Catalogues compress well
// because names and field names repeat.
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(data) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return b.Bytes()
}

// decompress decompresses a catalogue received from a peer.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress catalogue: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxCatalogueSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress catalogue: %w", err)
	}
	if len(data) > maxCatalogueSize {
		return nil, fmt.Errorf("decompress catalogue: more than %d bytes", maxCatalogueSize)
	}
	return data, nil
}
