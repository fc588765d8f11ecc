package gossiper

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// overdueAfter is how long an instance may not ask for promises until it is
	// asked itself: two of its questions are missing then.
	overdueAfter = 250 * time.Millisecond
	// probeInterval separates two questions to an instance that is missing.
	probeInterval = 250 * time.Millisecond
	// failedRetention is how long a lost instance is told of: the list of instances
	// shows it by then.
	failedRetention = 10 * time.Second
	// clientRetention is how recently others must have asked for an instance to count
	// as one that passes promises on.
	clientRetention = 200 * time.Millisecond
	// reportedRetention is how long counts what another instance says of lost ones.
	reportedRetention = 500 * time.Millisecond
	// maxFailed bounds a message while many instances are lost together.
	maxFailed = 64
)

// FailureDetector is what an instance knows of the lives of those that ask it for
// promises several times a second. One that stops asking is asked itself: it may
// only have found another to ask. Without an answer it counts as lost, long before
// connections to it time out. What is found goes up to the giver of the promises
// with the questions, and down to all with the answers.
type FailureDetector struct {
	clock clockwork.Clock

	mu            sync.Mutex
	clients       map[string]client
	lastHeartbeat time.Time
	reported      map[string]time.Time
}

// client is an instance that asked for promises.
type client struct {
	heartbeat time.Time
	// probed is when it was last asked itself; lost is true if it did not answer.
	probed time.Time
	failed bool
}

// NewFailureDetector returns an empty attendance.
func NewFailureDetector(clock clockwork.Clock) *FailureDetector {
	return &FailureDetector{clock: clock, clients: map[string]client{}, reported: map[string]time.Time{}}
}

// Heartbeat records that the instance asks.
func (a *FailureDetector) Heartbeat(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.lastHeartbeat, a.clients[name] = now, client{heartbeat: now}
}

// HasClients reports whether others ask this instance now.
func (a *FailureDetector) HasClients() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Since(a.lastHeartbeat) < clientRetention
}

// Overdue returns the instances that have to be asked whether they live.
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

// RecordProbe records whether an instance that was missing has answered.
func (a *FailureDetector) RecordProbe(name string, lives bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.clients[name]
	switch {
	case !ok || a.clock.Since(k.heartbeat) <= overdueAfter:
	case lives:
		delete(a.clients, name)
	default:
		k.failed = true
		a.clients[name] = k
	}
}

// DetectedHere returns the instances that this one found lost, in order of their names.
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

// RecordReported records which instances another one has found lost.
func (a *FailureDetector) RecordReported(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range names {
		a.reported[name] = a.clock.Now()
	}
}

// Failed returns the instances that were found lost by this one or others.
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
