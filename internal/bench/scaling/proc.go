package scaling

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of CPU time in /proc, which reports clock ticks. Linux
// fixes them at 100 per second for user space.
const ticksPerSecond = 100

// usage is the resource usage of a process as reported by /proc.
type usage struct {
	cpu       float64 // seconds since the process started
	rss, peak float64 // resident memory and its maximum, in bytes
}

// readUsage reads the resource usage of one process.
func readUsage(pid int) (u usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if u.cpu, err = parseStat(string(stat)); err != nil {
		return u, err
	}
	if u.rss, err = parseStatus(string(status), "VmRSS"); err != nil {
		return u, err
	}
	u.peak, err = parseStatus(string(status), "VmHWM")
	return u, err
}

// parseStat returns the user and system time in seconds from /proc/PID/stat.
// The second field is the program's name in parentheses, which may itself contain
// spaces and parentheses, so fields are counted from the last parenthesis.
func parseStat(s string) (float64, error) {
	end := strings.LastIndexByte(s, ')')
	if end < 0 {
		return 0, errors.New("/proc/PID/stat has no program name in parentheses")
	}
	fields := strings.Fields(s[end+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields after the name, want at least 13", len(fields))
	}
	total := 0.0
	for _, f := range fields[11:13] {
		n, err := strconv.ParseUint(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse CPU time in /proc/PID/stat: %w", err)
		}
		total += float64(n) / ticksPerSecond
	}
	return total, nil
}

// parseStatus returns the named size in bytes from /proc/PID/status, where it is
// given in units of 1024 bytes.
func parseStatus(s, name string) (float64, error) {
	for line := range strings.Lines(s) {
		value, ok := strings.CutPrefix(line, name+":")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse %s in /proc/PID/status: %w", name, err)
		}
		return float64(n) * 1024, nil
	}
	return 0, fmt.Errorf("/proc/PID/status has no %s", name)
}
