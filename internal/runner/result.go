package runner

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// Result is what the answers of an exchange have shown so far.
type Result struct {
	// Evidence is what the answers prove about the effect of the transaction.
	Evidence resolver.Evidence
	// Committed is set when a COMMIT took effect.
	Committed bool
	// Err is the first error of the batch.
	Err *pgproto3.ErrorResponse
	// KeyConflict is the request key that already exists, if one was used.
	KeyConflict string
	// Status is the transaction status of ReadyForQuery, 0 before it.
	Status byte
	// Row is the status row of the primary after the batch, nil if none was read.
	Row *tracker.Status
	// PartlySent is set when a part of the answer was passed on.
	PartlySent bool
	// MustDiscard is set when the connection must not be used again.
	MustDiscard bool
}

// MayHaveCommitted reports whether a part of the batch may have committed,
// judging by the answers read so far.
func (x *Exchange) MayHaveCommitted() bool { return x.mayHaveCommitted(x.Plan) }

// NeedsConfirmation reports whether the complete answer must be confirmed.
func (x *Exchange) NeedsConfirmation() bool { return x.needsConfirmation(x.Plan) }

func (r Result) mayHaveCommitted(p *planner.Plan) bool {
	if r.Committed || p.CommitsItself {
		return true
	}
	return p.MayCommit && r.Err == nil
}

func (r Result) needsConfirmation(p *planner.Plan) bool {
	if r.Committed || p.CommitsItself {
		return true
	}
	return r.Err == nil && (p.ImplicitWrite || p.ReturnsData)
}

// BlamesReplica reports whether the error of the batch is due to the state of
// the replica rather than to the read itself.
func (r Result) BlamesReplica() bool {
	if r.Err == nil {
		return false
	}
	return r.MustDiscard || resolver.ProvesNotRun(r.Err) || r.Err.Code == resolver.CodeNotRun || resolver.IsFatal(r.Err)
}
