package config

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// Guards against a peer that makes an instance allocate without bound, and
// against data that is changed on the way.
func TestUnpack(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte(`{"name":"stetec-ai"}`), 2000)
	packed := Pack(data)
	is.True(len(packed) < len(data)/20)
	got, err := unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(got, data))

	_, err = unpack(Pack(make([]byte, maxData+1)))
	is.True(err != nil) // larger than the store allows
	_, err = unpack(packed[:len(packed)/2])
	is.True(err != nil) // cut
	_, err = unpack([]byte("catalogue"))
	is.True(err != nil) // not packed
}
