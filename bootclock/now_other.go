//go:build !linux

package bootclock

import "time"

var started = time.Now()

// Now is the Clock of this machine. Here it may stand still while the machine sleeps:
// nodes run on Linux.
func Now() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }
