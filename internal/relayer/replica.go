package relayer

import (
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tracker"
)

// maxReplicas is the number of replicas that one read tries.
const maxReplicas = 2

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
	minimum := tracker.Position{}
	if s.r.router.Policy().UsesMinPosition() {
		minimum = s.minimum.Position
	}
	x := s.runner.NewReplicaRead(conn, b, p, choice, minimum)
	return s.concludeReplicaRead(x, choice.Replica, x.Run())
}

func (s *Session) concludeReplicaRead(x *runner.Exchange, replica string, err error) (bool, error) {
	switch {
	case err == nil && x.Status == 'I' && !x.MustDiscard:
		x.Conn.Release()
	case err == runner.ErrNotCovered && x.DiscardAnswer():
		x.Conn.Release()
	default:
		x.Conn.Discard()
	}
	s.retainer.Portals.Clear()
	if err == runner.ErrNotCovered {
		s.r.counts.replicaReadsRejected.Inc(1)
	}
	if err == nil && x.Err != nil && resolver.ProvesNotRun(x.Err) {
		x.RecordRefusal()
	}
	if !x.PartlySent && (err != nil || x.Status != 'I' || x.BlamesReplica()) {
		s.out.Drop()
		return false, nil
	}
	if err != nil {
		s.out.Drop()
		return true, s.fail(x.Batch, resolver.NotRunError("the answer of a replica was cut off: "+err.Error()))
	}
	s.r.counts.replicaReads.Inc(1)
	s.previousReplica = replica
	x.ApplyStatements()
	return true, s.ready()
}
