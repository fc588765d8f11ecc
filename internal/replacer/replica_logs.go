package replacer

import "marigoldhub.example/hub/internal/tracker"

// incarnation is one start of a server.
type incarnation struct {
	id   string
	born int64
}

// replicaLogs are the ends of the logs that fenced servers had received as replicas. A
// server may lead afterwards, by a call of another coordinator that takes effect late.
// Then it is the old primary of the next choice, which other old primaries do not hold up
// when they are out of reach: what they have alone was not acknowledged. What this one
// received as a replica may be.
type replicaLogs map[incarnation]replicaLog

// replicaLog is the end of a log, read in a change to the term.
type replicaLog struct {
	end  tracker.Position
	term uint64
}

// update records the logs of the servers that the outcomes show, and forgets those of
// servers that are gone. It returns up to where the log of the fence's leader was received
// as a replica, as far as is known.
func (l replicaLogs) update(f fence, outcomes []outcome) (least tracker.Position) {
	present := map[incarnation]bool{}
	for _, o := range outcomes {
		key := incarnation{o.server.ID, o.server.Born}
		present[key] = true
		m := f.member(o)
		// A log that ends in a term before the one that the server led was received before.
		if m.fenced && (!m.isOldPrimary || m.received.Term < f.term-1) {
			l[key] = replicaLog{m.received, f.term}
		}
	}
	for key := range l {
		if !present[key] {
			delete(l, key)
		}
	}
	return l[incarnation{f.leader, f.born}].end
}
