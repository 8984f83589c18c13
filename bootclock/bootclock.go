// Package bootclock provides a clock that is not affected by changes of the
// system time and that advances while the machine is suspended.
//
// Go's monotonic clock stops during a suspend and the system time may be set
// back. A lease or freshness proof measured by either could be trusted too
// long, and a removed key would still be served.
package bootclock

import "time"

// Clock returns the time since the machine started as a time.Time. It is only
// comparable with other times of the same clock.
type Clock func() time.Time
