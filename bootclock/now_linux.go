package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the Clock of this machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that Go runs on has this clock
	}
	return time.Unix(ts.Unix())
}
