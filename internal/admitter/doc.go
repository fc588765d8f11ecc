// Package admitter limits how many requests an instance runs at one backend
// server at a time, so that requests wait where their order can be chosen. A
// server's own queue is first in, first out, and refuses requests when it is
// full.
//
// A [Limiter] hands out slots; a slot is the right to run one request. Which waiting
// request gets a slot, and which one is refused when more wait than the queue limit
// allows, package scheduler decides from their [Urgency]: by priority, then the teams'
// shares of the slots' time, then the time when they are due. A request is due when the
// objective of its route, the time within which it should be answered, has passed since
// its arrival; so reads with a long objective give way to reads with a short one. A slot
// is released when its request ends or its timeout expires. A request whose caller leaves
// stops waiting at once.
package admitter
