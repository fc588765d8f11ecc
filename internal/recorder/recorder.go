package recorder

import (
	"fmt"
	"sync"

	"github.com/jonboulle/clockwork"
)

// Recorder is a ring buffer of events with a Lamport clock. It is safe for
// concurrent use; a nil *Recorder drops every event.
type Recorder struct {
	instance string
	clock    clockwork.Clock

	mu      sync.Mutex
	lamport uint64
	ring    []Event
	next    int
	full    bool
}

// New returns a recorder that keeps the newest size events.
func New(instance string, size int, clock clockwork.Clock) *Recorder {
	return &Recorder{instance: instance, clock: clock, ring: make([]Event, size)}
}

// Record adds an event. Fields alternate names, in snake case, and values.
func (r *Recorder) Record(component, kind, group string, fields ...any) {
	if r == nil {
		return
	}
	e := Event{Instance: r.instance, Wall: r.clock.Now(), Component: component, Kind: kind, Group: group, Fields: fieldMap(fields)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	e.Lamport = r.lamport
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
	r.full = r.full || r.next == 0
}

func fieldMap(fields []any) map[string]string {
	if len(fields) == 0 {
		return nil
	}
	m := make(map[string]string, len(fields)/2)
	for i := 0; i+1 < len(fields); i += 2 {
		m[fmt.Sprint(fields[i])] = fmt.Sprint(fields[i+1])
	}
	return m
}

// Tick advances the Lamport time and returns it, for a message to be sent.
func (r *Recorder) Tick() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	return r.lamport
}

// Observe advances the Lamport time to at least that of a received message, so
// that the next event or message is later than the received one.
func (r *Recorder) Observe(lamport uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport)
}

// Events returns the events, oldest first.
func (r *Recorder) Events() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	return append(append([]Event(nil), r.ring[r.next:]...), r.ring[:r.next]...)
}
