// Package bootclock tells the time by a clock that steps of the machine's time do not
// move and that goes on while the machine sleeps.
//
// A lease or a proof of age that is judged by Go's monotonic clock is believed too
// long after a sleep, for that clock stands still meanwhile; the machine's time of day
// may be set back. Both would let a key that was taken away be served.
package bootclock

import "time"

// Clock returns the time since the machine started, as a time.Time that is only to be
// compared with others of the same clock.
type Clock func() time.Time
