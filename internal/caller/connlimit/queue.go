package connlimit

// queue is a list of connections in the order in which they were added. Its zero value is
// empty. It links the connections themselves, so that a move from one queue to another
// allocates nothing.
type queue struct{ first, last *conn }

// add appends a connection that is in no queue.
func (q *queue) add(c *conn) {
	c.queue, c.previous, c.next = q, q.last, nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.next = c
	}
	q.last = c
}

// remove removes a connection from the queue that it is in, if any.
func remove(c *conn) {
	q := c.queue
	if q == nil {
		return
	}
	if c.previous == nil {
		q.first = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		q.last = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.queue, c.previous, c.next = nil, nil, nil
}
