package attester

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/sharer"
	"marigoldhub.example/hub/internal/tracker"
)

// commitRetryInterval separates two rounds while no replica that counts has received
// a commit. A replica receives it milliseconds after another one.
const commitRetryInterval = 10 * time.Millisecond

// ConfirmCommit returns nil if every server that may be promoted has the commit at
// the position, which the leader has just acknowledged. That a replica received it is
// no proof by itself: a replica that forgot its pause in a restart, or one that joined
// after the fence, receives commits that the next primary lacks.
//
// There are three proofs:
//
//   - A primary lease holds. The coordinator reads the logs from which it chooses the
//     next primary only after the end of all leases.
//   - A switchover lease holds, and its next primary has the commit.
//   - An established replica has the commit, and no replica that answers is paused or
//     knows a later term. The log that the replica reports once it is paused has the
//     commit too. If the last switchover lease has ended, its next primary must have the
//     commit as well, as it may be promoted yet.
//
// If no replica is established, there must be two at least, and all of them must answer
// and have the commit: a single one may have joined after the fence.
func (g *Group) ConfirmCommit(l Leader, p tracker.Position, deadline time.Time) error {
	after := g.cfg.Clock.Now()
	for {
		if g.HasLease(l) {
			return nil
		}
		received, err := g.receivedByReplica(l, after, deadline)
		if err == nil && received.Compare(p) >= 0 {
			return nil
		}
		if err == nil {
			err = ErrNotConfirmed
		}
		after = g.cfg.Clock.Now()
		if errors.Is(err, ErrSuperseded) || !after.Add(commitRetryInterval).Before(deadline) {
			return err
		}
		g.cfg.Clock.Sleep(commitRetryInterval)
	}
}

// receivedByReplica returns up to which position of the leader's log the commits are
// in the log of every server that may be promoted, as far as one round shows.
func (g *Group) receivedByReplica(l Leader, after, deadline time.Time) (tracker.Position, error) {
	if next, ok := g.switchoverNext(l); ok {
		received, err := g.logsOfNext.Await(next, after, deadline, func() (tracker.Position, error) { return g.logOf(next) })
		if now, ok := g.switchoverNext(l); err == nil && ok && now == next && received.Term == l.Term {
			return received, nil
		}
		return tracker.Position{}, ErrNotConfirmed
	}
	received, err := g.logsOfReplicas.Await(keyOf(l), after, deadline, func() (tracker.Position, error) { return g.logOfReplicas(l) })
	if errors.Is(err, sharer.ErrDeadline) {
		err = ErrNotConfirmed
	}
	return received, err
}

// logOf returns the end of a server's log.
func (g *Group) logOf(id string) (tracker.Position, error) {
	if r, ok := g.reportOf(id); ok {
		return r.Received, nil
	}
	return tracker.Position{}, ErrNotConfirmed
}

// reportOf requests a report of a listed server; false if none arrives.
func (g *Group) reportOf(id string) (exchanger.Report, bool) {
	for _, srv := range g.cfg.Servers() {
		if srv.ID != id {
			continue
		}
		if reports := g.query([]informer.Server{srv}, exchanger.Statement{Kind: exchanger.Status}); len(reports) > 0 {
			return reports[0].Report, true
		}
	}
	return exchanger.Report{}, false
}

// logOfReplicas returns the end of the longest log of the replicas that count, or of the log
// of the next primary of an ended switchover lease if that is shorter. A single
// replica that is paused or knows a later term shows that a change is under way: the
// others may have forgotten their pauses, and this instance may not have seen yet that
// they restarted.
func (g *Group) logOfReplicas(l Leader) (tracker.Position, error) {
	established, others := g.replicas(l.Server.ID)
	reports := g.query(append(slices.Clone(established), others...), exchanger.Statement{Kind: exchanger.Status})
	if slices.ContainsFunc(reports, func(r ServerReport) bool { return isLater(r.Report, l.Term) }) {
		return tracker.Position{}, g.suspectIfSuperseded(l, ErrSuperseded)
	}
	if next, ok := g.PendingNext(l); ok {
		i := slices.IndexFunc(reports, func(r ServerReport) bool { return r.Server.ID == next })
		if i < 0 || reports[i].Report.Role != exchanger.Replica {
			return tracker.Position{}, ErrNotConfirmed
		}
		if longest, err := longestLog(reports, established, others); err != nil || longest.Compare(reports[i].Report.Received) < 0 {
			return longest, err
		}
		return reports[i].Report.Received, nil
	}
	return longestLog(reports, established, others)
}

// longestLog returns the end of the longest log of the established replicas that have
// reported. If none is established, it is up to where all the others have the log.
func longestLog(reports []ServerReport, established, others []informer.Server) (tracker.Position, error) {
	if len(established) == 0 {
		return logOfAll(reports, len(others))
	}
	longest, confirmed := tracker.Position{}, false
	for _, r := range reports {
		counts := slices.ContainsFunc(established, func(srv informer.Server) bool { return srv.ID == r.Server.ID })
		if !counts || r.Report.Role != exchanger.Replica {
			continue
		}
		confirmed = true
		if r.Report.Received.Compare(longest) > 0 {
			longest = r.Report.Received
		}
	}
	if !confirmed {
		return tracker.Position{}, ErrNotConfirmed
	}
	return longest, nil
}

// minNewReplicas is how many replicas must have a commit if none of them is established.
const minNewReplicas = 2

// logOfAll returns the position up to which all replicas have the log, if as many as given
// have reported.
func logOfAll(reports []ServerReport, replicas int) (tracker.Position, error) {
	if len(reports) < max(replicas, minNewReplicas) {
		return tracker.Position{}, ErrNotConfirmed
	}
	var shortest tracker.Position
	for i, r := range reports {
		if r.Report.Role != exchanger.Replica {
			return tracker.Position{}, ErrNotConfirmed
		}
		if i == 0 || r.Report.Received.Compare(shortest) < 0 {
			shortest = r.Report.Received
		}
	}
	return shortest, nil
}
