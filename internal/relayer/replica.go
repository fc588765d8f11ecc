package relayer

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxReplicas is the number of replicas that one read tries.
	maxReplicas = 2
	// statusRowTimeout is the time within which a replica must send its status
	// row.
	statusRowTimeout = 300 * time.Millisecond
	// maxDiscardBytes is the largest unused answer that is read to its end in
	// order to keep the connection.
	maxDiscardBytes = 64 << 10
	// discardTimeout bounds the time for reading an unused answer.
	discardTimeout = 20 * time.Millisecond
)

// replicaRead is the state of a read on a replica.
type replicaRead struct {
	choice router.Choice
	// minPosition is the session's minimum position, zero when the policy
	// ignores it.
	minPosition tracker.Position
	sentAt      time.Time
	verified    bool // the status row was read
}

// errNotCovered means that the status row does not prove that the replica has
// the data that the read needs.
var errNotCovered = connLost("status row does not cover the read")

// serveRead runs a batch of proved reads outside a transaction, on a replica if
// the tables allow bounded reads.
func (s *Session) serveRead(b *batcher.Batch, p *planner.Plan) error {
	tables := p.Tables()
	if _, bounded := s.r.router.Bounded(s.groupName, tables); bounded {
		s.r.counts.boundedReads.Inc(1)
		if s.r.router.Policy().UsesMinPosition() {
			s.minimum = s.certifier.Minimum(s.minimum, s.r.clock)
		}
		if done, err := s.tryReplicas(b, p, tables); done {
			return err
		}
	}
	return s.serveOnPrimary(b, p)
}

// tryReplicas reports whether a replica served the batch.
func (s *Session) tryReplicas(b *batcher.Batch, p *planner.Plan, tables []string) (bool, error) {
	req := router.Request{Group: s.groupName, Tables: tables, MinPosition: s.minimum.Position, HasMinPosition: s.minimum.IsSet, MinPositionAt: s.minimum.At, Previous: s.previousReplica}
	for range maxReplicas {
		choice := s.r.router.Choose(req, s.r.clock.Now())
		if choice.Replica == "" {
			return false, nil
		}
		if done, err := s.tryReplica(b, p, choice); done {
			return true, err
		}
		req.Avoid = append(req.Avoid, choice.Replica)
		if !s.r.deps.RetryBudget.AllowRetry() {
			return false, nil
		}
	}
	return false, nil
}

// tryReplica reports whether the replica served the batch. If not, nothing of
// its answer was passed on.
func (s *Session) tryReplica(b *batcher.Batch, p *planner.Plan, choice router.Choice) (bool, error) {
	s.group.AddReads(choice.Replica, 1)
	defer s.group.AddReads(choice.Replica, -1)
	conn, err := s.acquirer.Replica(choice.Replica, s.r.cfg.ReplicaWait)
	if err != nil {
		return false, nil
	}
	x := s.newExchange(conn, b, p)
	x.mayStream = true
	x.replica = &replicaRead{choice: choice, sentAt: s.r.clock.Now()}
	if s.r.router.Policy().UsesMinPosition() {
		x.replica.minPosition = s.minimum.Position
	}
	conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	return s.finalizeReplicaRead(x, x.run())
}

func (s *Session) finalizeReplicaRead(x *exchange, err error) (bool, error) {
	switch {
	case err == nil && x.status == 'I' && !x.mustDiscard:
		x.conn.Release()
	case err == errNotCovered && x.discardAnswer():
		x.conn.Release()
	default:
		x.conn.Discard()
	}
	s.retainer.Portals.Clear()
	if err == errNotCovered {
		s.r.counts.replicaReadsRejected.Inc(1)
	}
	if err == nil && x.err != nil && resolver.ProvesNotRun(x.err) {
		x.recordRefusal()
	}
	if !x.partlySent && (err != nil || x.status != 'I' || x.blamesReplica()) {
		s.out.Drop()
		return false, nil
	}
	if err != nil {
		s.out.Drop()
		return true, s.fail(x.batch, resolver.NotRunError("the answer of a replica was cut off: "+err.Error()))
	}
	s.r.counts.replicaReads.Inc(1)
	s.previousReplica = x.replica.choice.Replica
	x.applyStatementChanges()
	return true, s.ready()
}

// blamesReplica reports whether the error of the batch is due to the state of
// the replica rather than to the read itself.
func (x *exchange) blamesReplica() bool {
	if x.err == nil {
		return false
	}
	return x.mustDiscard || resolver.ProvesNotRun(x.err) || x.err.Code == resolver.CodeNotRun || resolver.IsFatal(x.err)
}

// verifyStatusRow reads the status row, which precedes the answer, and checks
// that it covers the read.
func (x *exchange) verifyStatusRow() error {
	row, err := x.readStatus()
	if err != nil {
		return err
	}
	x.replica.verified = true
	if row == nil || !x.replica.covers(*row, x.s.r.clock.Now()) {
		return errNotCovered
	}
	return nil
}

// covers reports whether the row proves the session's minimum position and the
// age bound. The replica has applied at least the position in the view, so the
// age that the view gives for that position is an upper bound for the row.
func (r *replicaRead) covers(row tracker.Status, now time.Time) bool {
	if row.Role == tracker.RolePrimary || !row.Applied.Covers(r.minPosition) || !row.Applied.Covers(r.choice.View.Log) {
		return false
	}
	age, known := r.choice.View.Age(now)
	return known && age <= r.choice.MaxAge
}

// checkWait returns an error if it is useless to wait longer for the replica.
func (r *replicaRead) checkWait(x *exchange) error {
	if !r.verified && x.s.r.clock.Since(r.sentAt) > statusRowTimeout {
		return connLost("replica %s sent no status row", x.conn.Server())
	}
	v, ok := x.s.r.deps.Views.View(x.s.groupName)
	if !ok {
		return nil
	}
	if now, listed := v.Replica(x.conn.Server()); listed && !now.Reachable {
		return connLost("replica %s is not reachable", x.conn.Server())
	}
	return nil
}

// discardAnswer reads an answer that is not used. It reports whether the
// connection can be released.
func (x *exchange) discardAnswer() bool {
	x.withhold = true
	_ = x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	for x.status == 0 {
		x.answerSynthetic()
		msg, err := x.conn.Receive()
		if err != nil || x.handle(msg) != nil || x.s.out.Len() > maxDiscardBytes {
			return false
		}
	}
	return x.status == 'I'
}
