package promoter

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// stallTimeout is the time without progress after which replication counts
	// as stalled.
	stallTimeout = 2 * time.Second
	// maxCheckGap is the longest time between checks. After a longer gap, for
	// example because this process was paused, missing progress proves nothing.
	maxCheckGap = 500 * time.Millisecond

	// stallBackoffMin and stallBackoffMax bound the time between promotions
	// because of stalled replication.
	stallBackoffMin = 10 * time.Second
	stallBackoffMax = 5 * time.Minute
)

// stallDetector tracks the progress of replication under one leader.
type stallDetector struct {
	term      uint64
	checkedAt time.Time
	// progressAt is the latest time at which a majority stored the leader's
	// whole log, or the log that a replica stores advanced.
	progressAt time.Time
	replicas   map[string]replicaProgress
}

// replicaProgress is the progress of one replica.
type replicaProgress struct {
	log tracker.Position
	// progressAt is the latest time at which log advanced or reached the end of
	// the leader's log, or at which the replica was unreachable.
	progressAt time.Time
}

// update records the progress that the state shows under the given leader.
func (w *stallDetector) update(s tracker.State, leader tracker.Observation, now time.Time) {
	if w.term != leader.Status.Term || now.Sub(w.checkedAt) > maxCheckGap {
		w.term, w.progressAt, w.replicas = leader.Status.Term, now, make(map[string]replicaProgress)
	}
	w.checkedAt = now
	if leader.Status.Log.Compare(s.Confirmed) <= 0 {
		w.progressAt = now
	}
	for _, o := range s.Servers {
		if o.Server != leader.Server {
			w.updateReplica(o, leader.Status.Log, now)
		}
	}
}

func (w *stallDetector) updateReplica(o tracker.Observation, end tracker.Position, now time.Time) {
	p, known := w.replicas[o.Server]
	advanced := o.Status.Log.Compare(p.log) > 0
	if advanced && known {
		w.progressAt = now
	}
	if advanced || !known || !o.Reachable() || o.Status.Log.Compare(end) >= 0 {
		p.progressAt = now
	}
	p.log = o.Status.Log
	w.replicas[o.Server] = p
}

// isStalled reports whether the leader's records reach no majority and no
// replica advances.
func (w *stallDetector) isStalled(now time.Time) bool {
	return now.Sub(w.progressAt) >= stallTimeout
}

// isStuck reports whether the replica is reachable and behind but has not
// advanced for stallTimeout.
func (w *stallDetector) isStuck(server string, now time.Time) bool {
	p, ok := w.replicas[server]
	return ok && now.Sub(p.progressAt) >= stallTimeout
}

// stallBackoff limits promotions because of stalled replication. Each monitor
// has its own, which starts without a wait.
type stallBackoff struct {
	wait   time.Duration
	nextAt time.Time
}

// allow reports whether a promotion is allowed now, and if so records it. The
// wait doubles if a promotion is wanted less than one wait after the previous
// wait ended, and otherwise returns to stallBackoffMin.
func (b *stallBackoff) allow(now time.Time) bool {
	if now.Before(b.nextAt) {
		return false
	}
	if now.Sub(b.nextAt) < b.wait {
		b.wait = min(2*b.wait, stallBackoffMax)
	} else {
		b.wait = stallBackoffMin
	}
	b.nextAt = now.Add(b.wait)
	return true
}

// canExclude reports whether a majority of the servers is reachable without the
// named one. Only then may a promotion exclude that server: any majority has a
// server that stores every confirmed record.
func canExclude(s tracker.State, server string) bool {
	n := 0
	for _, o := range s.Servers {
		if o.Server != server && o.Reachable() {
			n++
		}
	}
	return n >= majority(s)
}
