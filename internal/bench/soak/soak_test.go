package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// failed are the seeds that ever broke a promise, with the cause.
var failed = []struct {
	seed  uint64
	cause string
}{}

// Guards against promises that break when faults overlap: kills, stops, pauses,
// cuts of the store, wrong answers, leaving servers and removed keys.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "wasabiworks")
	build := exec.Command("go", "build", "-o", program, "wasabiworks.example/wasabiworks/cmd/wasabiworks")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := []uint64{1, 2}
	for _, f := range failed {
		seeds = append(seeds, f.seed)
	}
	for _, seed := range seeds {
		result, err := Run(t.Context(), Config{Program: program, Seed: seed, Time: 12 * time.Second, Instances: 3})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, what := range result.Broken {
			t.Errorf("seed %d: %s", seed, what)
		}
		t.Logf("seed %d: %d sent, %d served", seed, result.Sent, result.Served)
	}
}
