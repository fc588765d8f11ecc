package tracker

import (
	"slices"
	"time"
)

// View is what an instance knows about a group at some time. It is a hint for
// routing: guarantees are based on status rows and confirmations, never on a
// view being current.
type View struct {
	// Group is the name of the group.
	Group string
	// Seq is the sequence number of the view at its monitor. It does not grow when
	// only positions or ages change.
	Seq uint64
	// Monitor is the instance that made the view.
	Monitor string
	// Term is the established term, 0 when none is known.
	Term uint64
	// Primary is the server that leads Term, empty when none is known.
	Primary string
	// Lineage is the primary's lineage.
	Lineage Lineage
	// Replaced is set when a majority has accepted a later term but no later
	// term is established yet. Nothing that Primary writes can be confirmed any
	// more.
	Replaced bool
	// Draining is set while new work on the primary is paused for a planned
	// change of primary.
	Draining bool
	// Replicas has one entry for each server except the primary.
	Replicas []ReplicaView
}

// ReplicaView is what is known about one replica.
type ReplicaView struct {
	// Server is the server's name.
	Server string
	// Log is the end of the log that the replica has applied.
	Log Position
	// FreshAt is the local monotonic time at which everything that the replica
	// shows was current: at FreshAt the primary's confirmed position was at or
	// before Log. It is zero when unknown.
	FreshAt time.Time
	// SeenAt is the local monotonic time at which the status behind this entry
	// was requested. SeenAt minus FreshAt is how far the replica was behind.
	SeenAt time.Time
	// Reachable is set when the newest probe of the server succeeded.
	Reachable bool
	// Leaving is set when the server will stop or is being drained.
	Leaving bool
}

// Age returns the age of the data on the replica at now, and false if it is
// unknown.
func (r ReplicaView) Age(now time.Time) (time.Duration, bool) {
	if r.FreshAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.FreshAt), true
}

// ExpectedFreshAt returns what FreshAt would be at now if the replica were as far
// behind as when its status was requested, and false if that is unknown. It is a
// hint; the status row that comes with an answer is the proof.
func (r ReplicaView) ExpectedFreshAt(now time.Time) (time.Time, bool) {
	if r.FreshAt.IsZero() || r.SeenAt.IsZero() {
		return time.Time{}, false
	}
	return now.Add(-r.SeenAt.Sub(r.FreshAt)), true
}

// Replica returns the entry of the given server, and false if there is none.
func (v View) Replica(server string) (ReplicaView, bool) {
	i := slices.IndexFunc(v.Replicas, func(r ReplicaView) bool { return r.Server == server })
	if i < 0 {
		return ReplicaView{}, false
	}
	return v.Replicas[i], true
}

// WithDraining returns a copy with Draining set to on.
func (v View) WithDraining(on bool) View {
	v.Draining = on
	return v
}

// WithReplica returns a copy in which r is the entry of its server.
func (v View) WithReplica(r ReplicaView) View {
	v.Replicas = slices.Clone(v.Replicas)
	for i := range v.Replicas {
		if v.Replicas[i].Server == r.Server {
			v.Replicas[i] = r
			return v
		}
	}
	v.Replicas = append(v.Replicas, r)
	return v
}

// ViewSource provides the newest view of each group.
type ViewSource interface {
	// View returns the newest view, and false if the group is unknown.
	View(group string) (View, bool)
	// Changed returns a channel that is closed at the next change of the
	// group's term, primary, draining mark or View.Replaced.
	Changed(group string) <-chan struct{}
}
