package main

import (
	"strings"
	"testing"
)

// Guards against invalid arguments that are ignored, so that a fake starts with
// settings other than the given ones, and against errors of several lines.
func TestInvalidArguments(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", "command"},
		{"router", "Unknown command `router'"},
		{"platform extra", `unexpected argument "extra"`},
		{"platform --writes-per-second=-1", "--writes-per-second is -1, must be 0 or above"},
		{"platform --listen=nowhere", "--listen nowhere"},
		{"engine", "`--entry' and `--id'"},
		{"engine --id=e --entry=a --slots=-1", "--slots is -1, must be 0 or above"},
		{"engine --id=e --entry=a --fault=slow=x", "--fault slow=x"},
		{"service --id=s --entry=a --delay=-1s", "--delay is -1, must be 0 or above"},
	} {
		err := run(strings.Fields(c.args))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("standin %s: error is %v, want one line with %s", c.args, err, c.want)
		}
	}
}
