package pooler

import "slices"

// queue orders waiting requests by class, highest first, then by arrival.
type queue struct {
	waiters []*waiter
}

// waiter is one waiting request for a connection.
type waiter struct {
	class  Class
	server *backend
	// result receives exactly one value when the waiter leaves the queue.
	result chan result
}

type result struct {
	conn *conn
	err  error
}

func (q *queue) push(w *waiter) {
	i := len(q.waiters)
	for i > 0 && q.waiters[i-1].class < w.class {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// next returns the first waiter that match accepts, without removing it.
func (q *queue) next(match func(*waiter) bool) *waiter {
	for _, w := range q.waiters {
		if match(w) {
			return w
		}
	}
	return nil
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// last returns the waiter that is refused first under overload.
func (q *queue) last() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

func (q *queue) countFor(b *backend) int {
	n := 0
	for _, w := range q.waiters {
		if w.server == b {
			n++
		}
	}
	return n
}
