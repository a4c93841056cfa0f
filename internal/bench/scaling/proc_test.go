package scaling

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against reading the wrong field, also after a program name with spaces
// and parentheses, and against accepting a truncated or malformed stat.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	got, err := parseStat("42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0")
	is.NoErr(err)
	is.Equal(got, 2.0)
	for _, s := range []string{"", "42 (a) S 1 2", "42 (a) S 1 2 3 4 5 6 7 8 9 10 x 50 0"} {
		if _, err := parseStat(s); err == nil {
			t.Errorf("parseStat(%q) returned no error", s)
		}
	}
}

// Guards against returning a size in the wrong unit or of the wrong field, and
// against a missing field that goes unnoticed.
func TestParseStatus(t *testing.T) {
	is := is.New(t)
	status := "Name:\tx\nVmHWM:\t  2048 kB\nVmRSS:\t    12 kB\n"
	got, err := parseStatus(status, "VmRSS")
	is.NoErr(err)
	is.Equal(got, 12288.0)
	got, err = parseStatus(status, "VmHWM")
	is.NoErr(err)
	is.Equal(got, 2097152.0)
	_, err = parseStatus(status, "VmSwap")
	is.True(err != nil)
}

// Guards against a parser that does not match the files in /proc of the running
// kernel.
func TestReadUsage(t *testing.T) {
	is := is.New(t)
	u, err := readUsage(os.Getpid())
	is.NoErr(err)
	is.True(u.rss > 0 && u.peak >= u.rss)
}
