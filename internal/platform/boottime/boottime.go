package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspension included, as a time after the
// Unix epoch. It is comparable only with other results of Now on the machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // the kernel is older than Go requires
	}
	return time.Unix(ts.Unix())
}
