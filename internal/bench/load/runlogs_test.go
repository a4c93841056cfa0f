package load

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against runs that are not counted because the process of the fake was
// killed, and against counts that are reported as complete although a log is
// missing.
func TestReadRunLogs(t *testing.T) {
	directory := t.TempDir()
	a, b := filepath.Join(directory, "a"), filepath.Join(directory, "b")
	for file, text := range map[string]string{a: "7\n8\n7\n", b: "7\n"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	runs, complete := readRunLogs([]string{a, b})
	if want := map[string]int{"7": 3, "8": 1}; !complete || !cmp.Equal(runs, want) {
		t.Errorf("readRunLogs = %v, %v, want %v, true", runs, complete, want)
	}
	prompts, complete := readPromptLogs([]string{a, b})
	if want := (promptRuns{a: {7: 2, 8: 1}, b: {7: 1}}); !complete || !cmp.Equal(prompts, want) {
		t.Errorf("readPromptLogs = %v, %v, want %v, true", prompts, complete, want)
	}
	if _, complete := readRunLogs([]string{a, filepath.Join(directory, "absent")}); complete {
		t.Error("readRunLogs with an absent file is complete, want partial")
	}
}
