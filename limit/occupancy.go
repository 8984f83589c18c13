package limit

import "time"

// Occupancy tracks how many slots of a backend server are in use by work that this node did
// not send: what its predecessor sent before the node restarted.
//
// Load pattern: a node that starts beside a backend server that is still full of requests.
// Sent all the slots at once, a backend server that does not answer what it can't queue
// would keep some of the requests without an answer.
//
// An Occupancy is not safe for concurrent use. The zero Occupancy knows of no other work.
type Occupancy struct {
	others     int
	reportedAt time.Time
}

// occupancyTTL is how long a report counts without another one. By then most of the work
// has ended, and without answers no report shows that.
const occupancyTTL = time.Second

// Report records that the backend server has busy requests running or waiting, of which own
// were sent by this node. Requests and answers on their way only make the server's number
// the lower one, so that none of the node's own are taken for others.
func (o *Occupancy) Report(now time.Time, busy, own int) {
	o.others, o.reportedAt = max(0, busy-own), now
}

// Others returns the number of requests of others that the backend server may still work on.
func (o *Occupancy) Others(now time.Time) int {
	if now.Sub(o.reportedAt) >= occupancyTTL {
		return 0
	}
	return o.others
}
