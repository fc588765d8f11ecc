package executor

import (
	"sync"
	"time"
)

const (
	// discardMemory is how long a discard is remembered for a begin that arrives or ends
	// later. A begin waits at most as long as its statement's timeout, which is shorter.
	discardMemory = 10 * time.Second
	// maxDiscarded and maxDiscardedID limit the memory: the number of ids, beyond which the
	// oldest is forgotten, and the length of one in bytes, beyond which a discard that
	// overtakes its begin has no effect. A discard overtakes its begin by milliseconds, so the
	// newest matter most.
	maxDiscarded   = 1024
	maxDiscardedID = 256
)

// discardedIDs are transactions that were discarded while they were not open here. The
// discard may have overtaken the begin, or the cancel of a begin that runs.
type discardedIDs struct {
	mu   sync.Mutex
	byID map[string]discardedID
	// ids are the newest ids. The next one is written at next, over the oldest.
	ids  []string
	next int
}

// discardedID is when a transaction was discarded, and where in ids that is noted.
type discardedID struct {
	at    time.Time
	index int
}

// add remembers a discard. Statements outside transactions have an empty id.
func (d *discardedIDs) add(id string, now time.Time) {
	if id == "" || len(id) > maxDiscardedID {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byID == nil {
		d.byID = map[string]discardedID{}
	}
	if len(d.ids) < maxDiscarded {
		d.ids = append(d.ids, "")
	}
	// An id that was discarded again is noted at a later index as well.
	if oldest := d.ids[d.next]; d.byID[oldest].index == d.next {
		delete(d.byID, oldest)
	}
	d.ids[d.next] = id
	d.byID[id] = discardedID{now, d.next}
	d.next = (d.next + 1) % maxDiscarded
}

// contains reports whether the transaction was discarded.
func (d *discardedIDs) contains(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	discarded, ok := d.byID[id]
	return ok && now.Sub(discarded.at) <= discardMemory
}
