package limit

import "testing"

// Guards against shares that together exceed what an instance has, and against machines
// that are left without connections or without room for one body of the maximum size.
func TestShares(t *testing.T) {
	for _, r := range []Resources{{64_000_000, 512}, {144_000_000, 3_075}, {184_000_000, 4_100}, {536_000_000, 10_250}, {0, 1024}, {64_000_000, 0}, {1 << 40, 100}} {
		s := r.Shares()
		if r.Descriptors > fileDescriptors+minDescriptors {
			accepted := s.ClientConnections + s.PeerConnections + 2*s.ControlConnections
			if left := r.Descriptors - fileDescriptors - accepted; left < s.ClientConnections/4 {
				t.Errorf("%+v: %d descriptors are left for connections to servers besides %+v", r, left, s)
			}
		}
		if r.MemoryBytes == 0 {
			if s.RequestBytes != 0 || s.HeapBytes != 0 {
				t.Errorf("%+v: got %+v, want no limit of unknown memory", r, s)
			}
			continue
		}
		held := programBytes + s.RequestBytes + s.ResponseBytes + int64(s.ClientConnections)*connectionBytes
		if held > r.MemoryBytes || s.ClientConnections < 16 || s.RequestBytes < 4<<20 {
			t.Errorf("%+v: got %+v, which hold %d bytes", r, s, held)
		}
	}
}
