package linker

import (
	"math"
	"time"
)

const (
	// maxOpening limits the concurrent handshakes for one user, maxOpeningInAll those of
	// all users. Each occupies a slot of the server. A waiter of a gateway already holds
	// a slot while it waits, and servers have 3 or 4: a lower limit for all users leaves
	// slots empty while teams wait for each other's handshakes.
	maxOpening      = 2
	maxOpeningInAll = 4
	// maxPassedOver bounds how often a waiter is passed over in favour of waiters of the
	// user of a released connection. Being passed over by one that is as urgent counts
	// once, by a less urgent one as often as the bound allows. A request takes about as
	// long as a handshake, so passing a waiter over delays it by as much as the
	// replacement of the connection costs.
	maxPassedOver = 2
)

// recipient returns the index of the waiter that gets a connection of the user; -1 if
// the connection should become idle. The waiters that are passed over are counted in
// them. Blocked are the indices of the waiters for which a connection will be opened as
// soon as one of another user can be closed; it is empty if none can be replaced.
func recipient(waiters waitList, user string, blocked []int) int {
	for i, w := range waiters {
		if !w.accepts(user) {
			continue
		}
		if !mayPassOver(waiters, blocked, i) {
			return -1
		}
		for _, b := range blocked {
			if b < i {
				waiters[b].passedOver += passingCost(waiters[b], w)
			}
		}
		return i
	}
	return -1
}

// mayPassOver reports whether the waiter with the index may be served before the blocked
// ones that are ahead of it.
func mayPassOver(waiters waitList, blocked []int, index int) bool {
	for _, b := range blocked {
		if b < index && waiters[b].passedOver+passingCost(waiters[b], waiters[index]) > maxPassedOver {
			return false
		}
	}
	return true
}

// passingCost returns by how much ahead.passedOver grows when w is served before it.
func passingCost(ahead, w *waiter) int {
	if w.Priority > ahead.Priority {
		return maxPassedOver
	}
	return 1
}

// idleConn is an idle connection as leastWorthKeeping sees it.
type idleConn struct {
	user string
	// age is the time since its last use.
	age time.Duration
	// interval is the mean time between two requests of its user.
	interval time.Duration
	// isExtra is set if another connection of the user is in use, or is idle and was used
	// more recently.
	isExtra bool
}

// never is the expected idle time of connections that nobody asks for.
const never time.Duration = math.MaxInt64

// expectedIdle returns how long the connection is expected to stay idle. The first
// connection of a user is needed at the user's next request. An extra one is needed when
// several requests come at the same time; it is expected to stay idle for as long as it
// has been.
func (c idleConn) expectedIdle() time.Duration {
	switch {
	case c.user == "":
		return never
	case c.isExtra:
		return max(c.interval, c.age)
	}
	return c.interval
}

// anyAge as the minimum age of leastWorthKeeping admits all connections.
const anyAge time.Duration = -1

// leastWorthKeeping returns the index of the connection that is expected to stay idle for
// longest, among those that have been idle for longer than minAge; -1 if there is none.
// Connections of the instance itself go first, because its statements run on those of any
// user.
func leastWorthKeeping(idle []idleConn, minAge time.Duration) int {
	worst, longest := -1, time.Duration(0)
	for i, c := range idle {
		if c.age <= minAge {
			continue
		}
		if e := c.expectedIdle(); worst < 0 || e >= longest {
			worst, longest = i, e
		}
	}
	return worst
}
