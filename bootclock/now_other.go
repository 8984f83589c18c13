//go:build !linux

package bootclock

import "time"

var started = time.Now()

// Now returns the time since the process started. It is a Clock. On these
// systems it may stop during a suspend; nodes run on Linux.
func Now() time.Time { return time.Unix(0, 0).Add(time.Since(started)) }
