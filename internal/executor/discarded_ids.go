package executor

import (
	"sync"
	"time"
)

const (
	// discardMemory is how long a discard is remembered for a begin that arrives or ends
	// later. A begin waits at most as long as its statement's timeout, which is shorter.
	discardMemory = 10 * time.Second
	// maxDiscarded and maxDiscardedID limit the memory: the number of ids, and the length of
	// one in bytes. Beyond them a discard that overtakes its begin has no effect.
	maxDiscarded   = 1024
	maxDiscardedID = 256
)

// discardedIDs are transactions that were discarded while they were not open here. The
// discard may have overtaken the begin, or the cancel of a begin that runs.
type discardedIDs struct {
	mu sync.Mutex
	at map[string]time.Time
}

// add remembers a discard. Statements outside transactions have an empty id.
func (d *discardedIDs) add(id string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.at) >= maxDiscarded {
		for other, at := range d.at {
			if now.Sub(at) > discardMemory {
				delete(d.at, other)
			}
		}
	}
	if len(d.at) >= maxDiscarded || id == "" || len(id) > maxDiscardedID {
		return
	}
	if d.at == nil {
		d.at = map[string]time.Time{}
	}
	d.at[id] = now
}

// contains reports whether the transaction was discarded.
func (d *discardedIDs) contains(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.at[id]
	return ok && now.Sub(at) <= discardMemory
}
