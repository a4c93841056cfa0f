package main

import (
	"strings"
	"testing"
)

// Guards against invalid arguments that are ignored, so that an experiment runs
// with settings other than the given ones.
func TestInvalidArguments(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", "command"},
		{"run extra", `unexpected argument "extra"`},
		{"run --mix=none", "Allowed values are: dvorak or kuttanad"},
		{"run", "targets"},
		{"run --target=x:1 --rate=0", "rate is 0, must be above 0"},
		{"run --target=x:1 --poison=1", "--poison is 1, must be at least 0 and below 1"},
		{"run --target=x:1 --fault=1s", "must be AT ADDRESS KIND"},
		{"compare a", "`B.json`"},
		{"compare a b c", `unexpected argument "c"`},
		{"compare main.go main.go", "read report: main.go"},
	} {
		err := run(strings.Fields(c.args))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("load %s: error is %v, want one line with %s", c.args, err, c.want)
		}
	}
}
