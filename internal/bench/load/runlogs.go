package load

import (
	"os"
	"strconv"
	"strings"
)

// readRunLog counts the lines of a file to which a fake logs its runs.
func readRunLog(file string) (map[string]int, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	runs := make(map[string]int)
	for line := range strings.Lines(string(data)) {
		runs[strings.TrimSuffix(line, "\n")]++
	}
	return runs, nil
}

// readRunLogs adds up the runs in files. It reports whether all of them could
// be read.
func readRunLogs(files []string) (runs map[string]int, complete bool) {
	runs, complete = make(map[string]int), true
	for _, f := range files {
		counts, err := readRunLog(f)
		complete = complete && err == nil
		for key, n := range counts {
			runs[key] += n
		}
	}
	return runs, complete
}

// readPromptLogs is like readRunLogs for the logs of engines.
func readPromptLogs(files []string) (runs promptRuns, complete bool) {
	runs, complete = make(promptRuns), true
	for _, f := range files {
		counts, err := readRunLog(f)
		complete = complete && err == nil
		runs[f] = make(map[uint64]int)
		for line, n := range counts {
			hash, err := strconv.ParseUint(line, 10, 64)
			complete = complete && err == nil
			runs[f][hash] += n
		}
	}
	return runs, complete
}
