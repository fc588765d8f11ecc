package budgeter

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Reason is why a caller was refused or its connection closed.
type Reason int

// The reasons.
const (
	// NoMemory means that the budget did not have the memory within [MaxWait].
	NoMemory Reason = iota
	// Evicted means that the connection held much memory without progress while
	// others waited for it.
	Evicted
	// SlowMessage means that a message arrived too slowly.
	SlowMessage
	// SlowReader means that an answer was read too slowly.
	SlowReader
	// TooManySessions means that no further session has room.
	TooManySessions
	// IdleDisplaced means that an idle session was closed in favor of a new one.
	IdleDisplaced
	// StartDisplaced means that a connection without a session was closed in favor of a
	// new one.
	StartDisplaced
	// ConnectionDisplaced means that the oldest connection of a port for short calls was
	// closed in favor of a new one.
	ConnectionDisplaced
	// NoSocket means that the process had no socket left for a connection.
	NoSocket
	// PeerDisplaced means that a connection at the port for instances was closed in favor of
	// another one. Its address was not that of a listed instance, or had more connections
	// than places.
	PeerDisplaced
	reasonCount
)

var reasonNames = [reasonCount]string{
	"no_memory", "evicted", "slow_message", "slow_reader", "too_many_sessions", "idle_displaced", "start_displaced", "connection_displaced",
	"no_socket", "peer_displaced",
}

// String returns the name that logs and metrics use.
func (r Reason) String() string { return reasonNames[r] }

// Refusals counts and logs refusals and closed connections by their reason.
type Refusals struct {
	log    logrus.FieldLogger
	counts [reasonCount]metrics.Counter
}

// NewRefusals returns counters that are registered as "limits.REASON". The log is expected
// to limit its rate.
func NewRefusals(r metrics.Registry, log logrus.FieldLogger) *Refusals {
	f := &Refusals{log: log}
	for reason := range f.counts {
		f.counts[reason] = metrics.GetOrRegisterCounter("limits."+Reason(reason).String(), r)
	}
	return f
}

// Add counts one refusal. Only each power of two of a reason's count is logged, so that a
// crowd does not fill the log.
func (f *Refusals) Add(reason Reason) {
	f.counts[reason].Inc(1)
	if n := f.counts[reason].Count(); n&(n-1) == 0 {
		f.log.WithFields(logrus.Fields{"reason": reason.String(), "count": n}).Warn("budgeter: a limit for callers binds")
	}
}
