package linker

// result is what a waiter receives: a connection, or why there is none.
type result struct {
	conn *Conn
	err  error
}

// waiter is a request that waits for a connection.
type waiter struct {
	Request
	// passedOver counts how often the waiter was passed over; see maxPassedOver.
	passedOver int
	result     chan result
}

// accepts reports whether a connection of the user serves the waiter.
func (w *waiter) accepts(user string) bool { return w.AnyUser || w.User == user }
