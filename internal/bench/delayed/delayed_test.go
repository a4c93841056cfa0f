package delayed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fake that reports a change without delay, so that tests miss
// defects in the handling of stale reports.
func TestValueIsVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v := Value[int]{Lag: 10 * time.Second}
	v.Set(at(0), 1)
	is.Equal(v.Get(at(0)), 1)
	v.Set(at(5), 2)
	is.Equal(v.Get(at(14)), 1)
	is.Equal(v.Get(at(15)), 2)
	is.Equal(v.Latest(), 2)
}

// Guards against memory use that grows with the number of changes during a lag.
func TestStoredVersionsAreBounded(t *testing.T) {
	v := Value[int]{Lag: time.Second}
	for i := range 10000 {
		v.Set(time.Unix(0, int64(i)*int64(time.Microsecond)), i)
	}
	if n := len(v.versions); n > versionsPerLag+2 {
		t.Errorf("%d versions after 10000 changes, want at most %d", n, versionsPerLag+2)
	}
}
