package demo

import "testing"

// Guards against two processes that get the same address, and against ports in
// the ephemeral range, which an outgoing connection can take before the process
// listens on them.
func TestFreeAddress(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		address, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("freeAddress returned %s twice", address)
		}
		seen[address] = true
	}
	if last := firstPort + portCount - 1; last >= 32768 {
		t.Errorf("the last port is %d, want it below the ephemeral ports, which begin at 32768", last)
	}
}
