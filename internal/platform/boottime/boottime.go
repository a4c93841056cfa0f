package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time suspended, as an offset from the
// Unix epoch. Results are comparable only with each other, on the same machine and
// within the same boot.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // possible only on a kernel older than Go supports
	}
	return time.Unix(ts.Unix())
}
