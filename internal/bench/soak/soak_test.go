package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressionSeeds are seeds with which a run has violated a guarantee, with the
// cause.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{3, "a resumable stream of a server that only paused was abandoned"},
	{4, "a resumable stream of a server that only paused was abandoned"},
	{8, "a resumable stream of a server that only paused was abandoned"},
	{10, "a resumable stream of a server that only paused was abandoned"},
}

// Guards against guarantees that are violated when faults overlap: killed, stopped
// and frozen instances, store outages, wrong responses, pausing and leaving servers,
// odd entries and removed keys.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "wasabiworks")
	build := exec.Command("go", "build", "-o", program, "wasabiworks.example/wasabiworks/cmd/wasabiworks")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1, 2}
	for _, f := range regressionSeeds {
		seeds = append(seeds, f.seed)
	}
	for _, seed := range seeds {
		result, err := Run(t.Context(), Config{Program: program, Seed: seed, Duration: 12 * time.Second, Instances: 3})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		t.Logf("seed %d: %d sent, %d served", seed, result.Sent, result.Served)
	}
}
