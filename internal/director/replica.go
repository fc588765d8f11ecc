package director

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tracker"
)

// maxReplicas is the number of replicas that one read tries.
const maxReplicas = 2

// read runs a batch of proved reads outside a transaction, on a replica if
// the tables allow bounded reads.
func (d *Director) read(b *batcher.Batch, p *planner.Plan) *pgproto3.ErrorResponse {
	tables := p.Tables()
	if _, bounded := d.cfg.Router.Bounded(d.cfg.Group, tables); bounded {
		d.cfg.Counters.BoundedReads.Inc(1)
		if d.cfg.Router.Policy().UsesMinPosition() {
			*d.cfg.Minimum = d.cfg.Certifier.Minimum(*d.cfg.Minimum, d.cfg.Clock)
		}
		if done, failure := d.tryReplicas(b, p, tables); done {
			return failure
		}
	}
	return d.onPrimary(b, p)
}

// tryReplicas reports whether a replica served the batch.
func (d *Director) tryReplicas(b *batcher.Batch, p *planner.Plan, tables []string) (bool, *pgproto3.ErrorResponse) {
	req := router.Request{
		Group: d.cfg.Group, Tables: tables, MinPosition: d.cfg.Minimum.Position, HasMinPosition: d.cfg.Minimum.IsSet, MinPositionAt: d.cfg.Minimum.At, Previous: d.previousReplica,
	}
	for range maxReplicas {
		choice := d.cfg.Router.Choose(req, d.cfg.Clock.Now())
		if choice.Replica == "" {
			return false, nil
		}
		if done, failure := d.tryReplica(b, p, choice); done {
			return true, failure
		}
		req.Avoid = append(req.Avoid, choice.Replica)
		if !d.cfg.RetryBudget.AllowRetry() {
			return false, nil
		}
	}
	return false, nil
}

// tryReplica reports whether the replica served the batch. If not, nothing of
// its answer was passed on.
func (d *Director) tryReplica(b *batcher.Batch, p *planner.Plan, choice router.Choice) (bool, *pgproto3.ErrorResponse) {
	d.cfg.Shared.AddReads(choice.Replica, 1)
	defer d.cfg.Shared.AddReads(choice.Replica, -1)
	conn, err := d.cfg.Acquirer.AcquireReplica(choice.Replica, d.cfg.ReplicaWait)
	if err != nil {
		return false, nil
	}
	minimum := tracker.Position{}
	if d.cfg.Router.Policy().UsesMinPosition() {
		minimum = d.cfg.Minimum.Position
	}
	x := d.cfg.Runner.NewReplicaRead(conn, b, p, choice, minimum)
	return d.concludeReplicaRead(x, choice.Replica, x.Run())
}

func (d *Director) concludeReplicaRead(x *runner.Exchange, replica string, err error) (bool, *pgproto3.ErrorResponse) {
	switch {
	case err == nil && x.Status == 'I' && !x.MustDiscard:
		x.Conn.Release()
	case err == runner.ErrNotCovered && x.DiscardAnswer():
		x.Conn.Release()
	default:
		x.Conn.Discard()
	}
	d.cfg.Retainer.Portals.Clear()
	if err == runner.ErrNotCovered {
		d.cfg.Counters.ReplicaReadsRejected.Inc(1)
	}
	if err == nil && x.Err != nil && resolver.ProvesNotRun(x.Err) {
		x.RecordRefusal()
	}
	if !x.PartlySent && (err != nil || x.Status != 'I' || x.BlamesReplica()) {
		d.cfg.Output.Drop()
		return false, nil
	}
	if err != nil {
		d.cfg.Output.Drop()
		return true, resolver.NotRunError("the answer of a replica was cut off: " + err.Error())
	}
	d.cfg.Counters.ReplicaReads.Inc(1)
	d.previousReplica = replica
	x.ApplyStatements()
	return true, nil
}
