package load

import (
	"os"
	"strconv"
	"strings"
)

// readRunLog counts the occurrences of each line in a run log, to which a fake
// appends one line for each run.
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

// readRunLogs sums the runs in several run logs. It returns complete as false if
// any file could not be read.
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

// readPromptLogs is like readRunLogs, for the run logs of engines, whose lines
// are prompt hashes.
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
