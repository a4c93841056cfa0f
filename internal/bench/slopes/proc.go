package slopes

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ticksPerSecond is the unit of CPU time in /proc, which Linux fixes at 100 for
// user space.
const ticksPerSecond = 100

// usage is what /proc says about a process.
type usage struct {
	cpu       float64 // seconds since the start
	rss, peak float64 // bytes
}

// readUsage reads the usage of one process.
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
// The second field is the program's name in parentheses and may hold spaces.
func parseStat(s string) (float64, error) {
	end := strings.LastIndexByte(s, ')')
	if end < 0 {
		return 0, errors.New("stat has no program name")
	}
	fields := strings.Fields(s[end+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("stat has %d fields after the name, want at least 13", len(fields))
	}
	total := 0.0
	for _, f := range fields[11:13] {
		n, err := strconv.ParseUint(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("time in stat: %w", err)
		}
		total += float64(n) / ticksPerSecond
	}
	return total, nil
}

// parseStatus returns a size in bytes from /proc/PID/status, which has kB.
func parseStatus(s, name string) (float64, error) {
	for line := range strings.Lines(s) {
		value, ok := strings.CutPrefix(line, name+":")
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s in status: %w", name, err)
		}
		return float64(n) * 1024, nil
	}
	return 0, fmt.Errorf("status has no %s", name)
}
