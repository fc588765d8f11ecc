package attester

import "time"

// round is one confirmation by replicas, which any number of reads wait for.
type round struct {
	leader Leader
	began  time.Time
	done   chan struct{}
	err    error
}

func newRound(l Leader) *round { return &round{leader: l, done: make(chan struct{})} }

func (r *round) isOf(l Leader) bool {
	return r.leader.Server.ID == l.Server.ID && r.leader.Term == l.Term
}
