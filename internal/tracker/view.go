package tracker

import (
	"slices"
	"time"
)

// View is what one instance knows about a group at a moment. It is a hint for
// routing: every promise rests on status rows and confirmations, never on a
// view being current.
type View struct {
	Group string
	// Seq grows with every change that one monitor makes.
	Seq uint64
	// Monitor is the instance that made the view.
	Monitor string
	// Term is the established term, 0 when none is known.
	Term uint64
	// Primary is the server that leads Term, empty when none is known.
	Primary string
	// Lineage is the primary's lineage.
	Lineage Lineage
	// Replaced is set when a majority has accepted a later term: nothing that
	// Primary does can be confirmed any more, and no later primary is
	// established yet.
	Replaced bool
	// Draining is set while a planned change of primary holds new work.
	Draining bool
	Replicas []ReplicaView
}

// ReplicaView is what is known about one replica.
type ReplicaView struct {
	Server string
	// Log is the end of the log that the replica has applied.
	Log Position
	// FreshAt is the local monotonic time at which everything the replica
	// shows was current: the primary's confirmed position at FreshAt was at or
	// before Log. It is zero when unknown.
	FreshAt time.Time
	// SeenAt is the local monotonic time at which the status behind this entry
	// was requested. SeenAt minus FreshAt is how far the replica was behind.
	SeenAt    time.Time
	Reachable bool
	Leaving   bool
}

// Age returns the age of the data on the replica at now, and false when it is
// unknown.
func (r ReplicaView) Age(now time.Time) (time.Duration, bool) {
	if r.FreshAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.FreshAt), true
}

// ExpectedFreshAt returns what FreshAt would be at now if the replica is as far
// behind as it was when it was seen. It is a hint; the status row that comes
// with an answer is the proof.
func (r ReplicaView) ExpectedFreshAt(now time.Time) (time.Time, bool) {
	if r.FreshAt.IsZero() || r.SeenAt.IsZero() {
		return time.Time{}, false
	}
	return now.Add(-r.SeenAt.Sub(r.FreshAt)), true
}

// Replica returns the entry of the given server.
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

// WithReplica returns a copy in which the entry of r.Server is r.
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

// ViewSource gives the newest view of each group.
type ViewSource interface {
	// View returns the newest view, and false when the group is unknown.
	View(group string) (View, bool)
	// Changed returns a channel that is closed at the next change of the
	// group's term, primary or draining mark.
	Changed(group string) <-chan struct{}
}
