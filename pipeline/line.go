// Package pipeline serves connections on which a caller sends further requests before
// earlier ones are answered. The requests run side by side and are answered in the order
// in which they were sent.
//
// Guarantees: an answer is written whole, in its place, and only after all answers before
// it. A request that must not be repeated starts only once all before it are answered, so
// it never runs behind an answer that closes the connection. What is read and held for one
// connection is bounded in number and bytes.
package pipeline

// line is the order of the requests of one connection. It decides which of them may start
// and which answers may be written.
//
// Load pattern: callers that send several requests at once, each of which takes much longer
// than the way there.
type line struct {
	// waiting holds the requests whose answers are not written yet, in the order in which
	// they were sent.
	waiting []*request
	// held is the number of bytes of bodies and answers in waiting.
	held int64
	// last is set once no further request is taken.
	last bool
}

// request is one request in a line.
type request struct {
	// repeatable says that running the request again is harmless.
	repeatable bool
	started    bool
	finished   bool
	// bytes is the size of its body until it is finished, then that of its answer.
	bytes int64
	exchange
}

// add takes the next request.
func (l *line) add(r *request) {
	l.waiting = append(l.waiting, r)
	l.held += r.bytes
}

// hasRoom reports whether another request may be read.
func (l *line) hasRoom(limits Limits) bool {
	return !l.last && len(l.waiting) < limits.MaxRequests && (len(l.waiting) == 0 || l.held < limits.MaxBytes)
}

// start returns the requests that may start now and marks them as started.
func (l *line) start() []*request {
	var out []*request
	for i, r := range l.waiting {
		if !r.started && !r.repeatable && i > 0 {
			break // what follows it would overtake it
		}
		if !r.started {
			r.started = true
			out = append(out, r)
		}
	}
	return out
}

// finish records the answer of a request, of the given size.
func (l *line) finish(r *request, bytes int64) {
	r.finished = true
	l.held += bytes - r.bytes
	r.bytes = bytes
}

// ready removes the requests whose answers may be written now, and returns them. With
// closing set the line ends if it is empty afterwards.
func (l *line) ready(closing bool) []*request {
	n := 0
	for n < len(l.waiting) && l.waiting[n].finished {
		l.held -= l.waiting[n].bytes
		n++
	}
	out := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	if closing && len(l.waiting) == 0 {
		l.last = true
	}
	return out
}

// hangUp records that the caller sends nothing more and reads at most what is on its way.
// Requests that have not started are dropped.
func (l *line) hangUp() {
	l.last = true
	kept := l.waiting[:0:0]
	for _, r := range l.waiting {
		if r.started {
			kept = append(kept, r)
		} else {
			l.held -= r.bytes
		}
	}
	l.waiting = kept
}

// ended reports whether the answers taken by ready were the last of the connection.
func (l *line) ended() bool { return l.last && len(l.waiting) == 0 }
