package relayer

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxReplicas is the number of replicas that one read tries.
	maxReplicas = 2
	// proofWait is the time within which a replica sends its status row.
	proofWait = 300 * time.Millisecond
	// maxDiscard is the largest unproved answer that is read to its end, so
	// that the connection can be kept, in bytes.
	maxDiscard = 64 << 10
	// discardWait bounds the time for it.
	discardWait = 20 * time.Millisecond
)

// replicaRead is the state of a read on a replica.
type replicaRead struct {
	choice router.Choice
	// floor is the session's floor, zero when the policy ignores it.
	floor  tracker.Position
	sentAt time.Time
	proven bool
}

// errUnproved means that the status row does not prove what the read needs.
var errUnproved = lost("status row does not cover the read")

// serveRead runs a batch of proved reads outside a transaction.
func (s *Session) serveRead(b *batch, p *planner.Plan) error {
	tables := p.Tables()
	if _, bounded := s.r.router.Bounded(s.name, tables); bounded {
		s.r.counts.bounded.Inc(1)
		if s.r.router.Policy().UsesMinPosition() {
			s.takeFloor()
		}
		if done, err := s.tryReplicas(b, p, tables); done {
			return err
		}
	}
	return s.servePrimary(b, p)
}

// tryReplicas reports whether a replica served the batch.
func (s *Session) tryReplicas(b *batch, p *planner.Plan, tables []string) (bool, error) {
	req := router.Request{Group: s.name, Tables: tables, MinPosition: s.floor, HasMinPosition: s.floorSet, MinPositionAt: s.floorAt, Previous: s.previous}
	for range maxReplicas {
		choice := s.r.router.Choose(req, s.r.clock.Now())
		if choice.Replica == "" {
			return false, nil
		}
		if done, err := s.tryReplica(b, p, choice); done {
			return true, err
		}
		req.Avoid = append(req.Avoid, choice.Replica)
		if !s.r.parts.Budget.Retry() {
			return false, nil
		}
	}
	return false, nil
}

// tryReplica reports whether the replica served the batch. If not, nothing of
// its answer was passed on.
func (s *Session) tryReplica(b *batch, p *planner.Plan, choice router.Choice) (bool, error) {
	s.group.addRead(choice.Replica, 1)
	defer s.group.addRead(choice.Replica, -1)
	conn, err := s.acquire(s.ctx, pooler.Request{
		Group: s.name, Server: choice.Replica, Class: pooler.BoundedRead, Caller: s.caller.Name,
	}, s.r.cfg.ReplicaWait)
	if err != nil {
		return false, nil
	}
	x := s.newExchange(conn, b, p)
	x.streams = true
	x.replica = &replicaRead{choice: choice, sentAt: s.r.clock.Now()}
	if s.r.router.Policy().UsesMinPosition() {
		x.replica.floor = s.floor
	}
	conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	return s.settleReplica(x, x.run())
}

func (s *Session) settleReplica(x *exchange, err error) (bool, error) {
	switch {
	case err == nil && x.status == 'I' && !x.stale:
		x.conn.Release()
	case err == errUnproved && x.discardAnswer():
		x.conn.Release()
	default:
		x.conn.Discard()
	}
	s.portals = nil
	if err == errUnproved {
		s.r.counts.rejected.Inc(1)
	}
	if !x.sent && (err != nil || x.status != 'I' || x.unusable()) {
		s.out = s.out[:0]
		return false, nil
	}
	if err != nil {
		s.out = s.out[:0]
		return true, s.fail(x.b, resolver.NotRunError("the answer of a replica was cut off: "+err.Error()))
	}
	s.r.counts.replica.Inc(1)
	s.previous = x.replica.choice.Replica
	x.remembered()
	return true, s.ready()
}

// unusable reports whether the replica's error says more about the replica
// than about the read.
func (x *exchange) unusable() bool {
	if x.err == nil {
		return false
	}
	return x.stale || resolver.ProvesNotRun(x.err) || x.err.Code == resolver.CodeNotRun || resolver.IsFatal(x.err)
}

// prove reads the status row that precedes the answer and checks it.
func (x *exchange) prove() error {
	row, err := x.readStatus()
	if err != nil {
		return err
	}
	x.replica.proven = true
	if row == nil || !x.replica.covers(*row, x.s.r.clock.Now()) {
		return errUnproved
	}
	return nil
}

// covers reports whether the row proves the session's floor and the age bound.
// What the replica has applied is at or past the viewed position, so what the
// view says about the age of that position holds for the row.
func (r *replicaRead) covers(row tracker.Status, now time.Time) bool {
	if row.Role == tracker.RolePrimary || !row.Applied.Covers(r.floor) || !row.Applied.Covers(r.choice.View.Log) {
		return false
	}
	age, known := r.choice.View.Age(now)
	return known && age <= r.choice.MaxAge
}

// check decides whether to go on waiting for the replica.
func (r *replicaRead) check(x *exchange) error {
	if !r.proven && x.s.r.clock.Since(r.sentAt) > proofWait {
		return lost("replica %s sent no status row", x.conn.Server())
	}
	v, ok := x.s.r.parts.Views.View(x.s.name)
	if !ok {
		return nil
	}
	if now, listed := v.Replica(x.conn.Server()); listed && !now.Reachable {
		return lost("replica %s is not reachable", x.conn.Server())
	}
	return nil
}

// discardAnswer reads an answer that is not used. It reports whether the
// connection is at rest.
func (x *exchange) discardAnswer() bool {
	x.sealed = true
	_ = x.conn.SetReadDeadline(time.Now().Add(discardWait))
	for x.status == 0 {
		x.answerSynthetic()
		msg, err := x.conn.Receive()
		if err != nil || x.handle(msg) != nil || len(x.s.out) > maxDiscard {
			return false
		}
	}
	return x.status == 'I'
}
