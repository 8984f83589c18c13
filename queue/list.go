package queue

// list is a doubly linked list of entries in order of arrival.
type list[T any] struct {
	oldest, newest *entry[T]
	len            int
}

func (l *list[T]) add(e *entry[T]) {
	l.len++
	e.prev = l.newest
	if l.newest == nil {
		l.oldest = e
	} else {
		l.newest.next = e
	}
	l.newest = e
}

func (l *list[T]) remove(e *entry[T]) {
	l.len--
	if e.prev == nil {
		l.oldest = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.newest = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}
