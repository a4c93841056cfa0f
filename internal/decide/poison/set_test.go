package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against verdicts that count one process twice, ignore a restarted
// process or outlive the deadline.
func TestVerdict(t *testing.T) {
	is := is.New(t)
	var s Set
	later := epoch.Add(time.Hour)
	s.Crash("a", "1", []uint64{7, 8}, later)
	s.Crash("a", "1", []uint64{7}, later)
	is.Equal(s.Verdict(7, epoch), Suspect)
	s.Crash("a", "2", []uint64{7}, later.Add(time.Minute))
	is.Equal(s.Verdict(7, epoch), Poison)
	is.Equal(s.Verdict(8, epoch), Suspect)
	is.Equal(s.Verdict(9, epoch), Clear)
	is.Equal(s.Verdict(7, later), Suspect)
	var other Set
	rs, _ := s.Since(0)
	is.Equal(other.Merge(rs), 3)
	is.Equal(other.Merge(rs), 0)
	is.Equal(other.Verdict(7, epoch), Poison)
}
