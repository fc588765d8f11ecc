package linker

// result is what a waiter receives: a connection, or why there is none.
type result struct {
	conn *Conn
	err  error
}

// waiter is a request that waits for a connection.
type waiter struct {
	priority int
	result   chan result
}

// before reports whether w is served before o.
func (w *waiter) before(o *waiter) bool { return w.priority < o.priority }
