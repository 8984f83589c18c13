package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of the machine's boot clock. It is a Clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all Linux kernels supported by Go have this clock
	}
	return time.Unix(ts.Unix())
}
