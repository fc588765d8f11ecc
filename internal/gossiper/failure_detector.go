package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// overdueAfter is how long a client may send no lease request before it is
	// probed: two of its requests are missing then.
	overdueAfter = 250 * time.Millisecond
	// probeInterval separates two probes of an overdue client.
	probeInterval = 250 * time.Millisecond
	// failedRetention is how long a failed instance is reported. The registrar's
	// list of instances shows the failure by then.
	failedRetention = 10 * time.Second
	// clientRetention is how recently a lease request must have come for this
	// instance to count as a relay.
	clientRetention = 200 * time.Millisecond
	// reportedRetention is how long a report of failed instances counts.
	reportedRetention = 500 * time.Millisecond
	// maxFailed limits the failed instances in a message.
	maxFailed = 64
)

// FailureDetector detects failed instances by the primary-lease requests that its
// clients, other instances, send several times a second: each request is a
// heartbeat. A client whose requests stop is overdue and is probed, because it may
// be alive and send its requests to another instance now. If it does not answer
// the probe, it counts as failed, long before connections to it time out. Lease
// requests also carry reports of failed instances to the coordinator, and the
// responses carry them to all other instances.
type FailureDetector struct {
	clock clockwork.Clock

	mu            sync.Mutex
	clients       map[string]client
	lastHeartbeat time.Time
	// reported holds when other instances last reported an instance as failed.
	reported map[string]time.Time
}

// client is an instance that requests primary leases from this one.
type client struct {
	heartbeat time.Time
	// probed is when it was last probed; failed is true if it did not answer.
	probed time.Time
	failed bool
}

// NewFailureDetector returns a failure detector without clients.
func NewFailureDetector(clock clockwork.Clock) *FailureDetector {
	return &FailureDetector{clock: clock, clients: map[string]client{}, reported: map[string]time.Time{}}
}

// Heartbeat records a lease request of the named instance.
func (a *FailureDetector) Heartbeat(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.lastHeartbeat, a.clients[name] = now, client{heartbeat: now}
}

// HasClients reports whether other instances request leases from this one.
func (a *FailureDetector) HasClients() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Since(a.lastHeartbeat) < clientRetention
}

// Overdue returns the clients that must be probed now, in order of their names,
// and records that they are. It forgets those that have been silent for longer
// than failedRetention.
func (a *FailureDetector) Overdue() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	var names []string
	for name, k := range a.clients {
		switch {
		case now.Sub(k.heartbeat) > failedRetention:
			delete(a.clients, name)
		case now.Sub(k.heartbeat) > overdueAfter && now.Sub(k.probed) > probeInterval:
			k.probed = now
			a.clients[name] = k
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordProbe records whether an overdue client answered the probe.
func (a *FailureDetector) RecordProbe(name string, alive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.clients[name]
	switch {
	case !ok || a.clock.Since(k.heartbeat) <= overdueAfter:
	case alive:
		delete(a.clients, name)
	default:
		k.failed = true
		a.clients[name] = k
	}
}

// DetectedHere returns the clients that this instance found failed, in order of
// their names.
func (a *FailureDetector) DetectedHere() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for name, k := range a.clients {
		if k.failed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxFailed)]
}

// RecordReported records that another instance now reports the named ones as
// failed. A report counts for reportedRetention and leaves earlier ones unchanged;
// it is not kept who reported.
func (a *FailureDetector) RecordReported(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.reported[name] = a.clock.Now()
	}
}

// Failed returns the instances that this one or others found failed, in order of
// their names.
func (a *FailureDetector) Failed() []string {
	names := a.DetectedHere()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, at := range a.reported {
		if a.clock.Since(at) > reportedRetention {
			delete(a.reported, name)
		} else if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), maxFailed)]
}
