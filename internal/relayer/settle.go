package relayer

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// afterLoss settles an exchange whose server connection failed.
func (x *exchange) afterLoss(err error) attempt {
	s := x.s
	wasActive := s.held.tx.active
	s.held.conn = x.conn
	s.dropHeld()
	if x.mayHaveCommitted() {
		return x.give(resolver.UnknownError(err.Error()), false)
	}
	if wasActive || (x.p.LeavesTransactionOpen && len(x.p.Executed) > 1) || x.sent {
		s.lost = wasActive || x.p.LeavesTransactionOpen
		return x.give(resolver.NotRunError(err.Error()), false)
	}
	return x.give(resolver.NotRunError(err.Error()), true)
}

// give drops the buffered answer in favour of an error.
func (x *exchange) give(failure *pgproto3.ErrorResponse, retry bool) attempt {
	x.s.out = x.s.out[:0]
	return attempt{failure: failure, retry: retry && !x.sent}
}

// settle decides what becomes of the connection and of the answer after
// ReadyForQuery.
func (x *exchange) settle(p *proof) attempt {
	s := x.s
	if x.keyClash != "" {
		return x.settleKeyClash()
	}
	if x.status != 'I' && x.committed {
		return x.afterLoss(lost("the batch committed and left a transaction open"))
	}
	if x.status != 'I' {
		s.keep(x)
		return x.settleInTransaction()
	}
	confirm := x.needsConfirmation()
	if confirm && x.row == nil {
		if err := x.askStatus(); err != nil {
			return x.afterLoss(err)
		}
	}
	inTx := s.held.tx.active
	s.giveBack(x)
	defer s.leavePrimary()
	if confirm {
		return x.settleConfirmed(p)
	}
	if x.err != nil && !inTx && resolver.ProvesNotRun(x.err) && !s.pinned() {
		return x.give(resolver.NotRunError(x.err.Message+" ("+x.err.Code+")"), true)
	}
	return attempt{}
}

// keep leaves the connection with the session, inside a transaction.
func (s *Session) keep(x *exchange) {
	s.held.conn = x.conn
	s.held.open = nil
	s.held.tx.active = true
	s.held.stale = x.stale
	s.held.tx.failed = x.status == 'E'
	s.held.tx.evidence = x.evidence
	s.held.tx.readOnly = s.held.tx.readOnly || x.p.RequestsReadOnly
}

// settleInTransaction looks for an error that shows that the server no longer
// takes writes, so that the transaction cannot commit.
func (x *exchange) settleInTransaction() attempt {
	s := x.s
	if x.err == nil || x.err.Code != resolver.CodeReadOnly || s.pinned() {
		return attempt{}
	}
	if s.held.tx.readOnly {
		return attempt{}
	}
	s.failTransaction()
	return x.give(resolver.NotRunError("the primary is being replaced"), false)
}

// giveBack ends the use of a connection at rest.
func (s *Session) giveBack(x *exchange) {
	if s.pinned() {
		s.held.conn = x.conn
		s.held.open = nil
		s.held.tx = txState{}
		s.portals = nil
		return
	}
	counted := s.counted
	s.counted = false // the caller of giveBack leaves the primary later
	s.held.conn = x.conn
	s.setRunning(nil)
	if x.stale {
		x.conn.Discard()
	} else {
		x.conn.Release()
	}
	s.forgetHeld()
	s.counted = counted
}

// settleConfirmed waits for the confirmation of a commit or a strict read.
func (x *exchange) settleConfirmed(p *proof) attempt {
	s := x.s
	commit := x.evidence.Commit(resolver.Commit{Lower: x.lower, Upper: x.row.Log})
	// A server that is not the primary may have shown old data. Only a proved
	// write shows that it was the primary when it ran the batch.
	if x.row.Role != tracker.RolePrimary && x.evidence != resolver.ProvedWrite {
		return x.settleForeign()
	}
	if !x.p.MayCommit && !x.committed {
		return x.settleRead(p, commit)
	}
	fresh := x.committed || x.evidence != resolver.ProvedWrite
	res, err := s.confirm(x.row.Log, fresh)
	if err != nil {
		if x.evidence == resolver.ProvedReadOnly {
			return x.give(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
		}
		return x.give(resolver.UnknownError("position "+x.row.Log.String()+" was not confirmed: "+err.Error()), false)
	}
	switch commit.Resolve(res) {
	case resolver.Done:
		s.r.counts.commits.Inc(1)
		s.raiseFloor(x.row.Log)
		s.sendToken(x.row.Log)
		return attempt{}
	case resolver.NotRun:
		return x.give(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), !x.p.ExplicitTransaction)
	}
	return x.give(resolver.UnknownError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), false)
}

// settleForeign answers a batch whose server was not the primary after it.
func (x *exchange) settleForeign() attempt {
	why := "backend server " + x.conn.Server() + " is not the primary"
	if !x.p.MayCommit || x.evidence == resolver.ProvedReadOnly {
		return x.give(resolver.NotRunError(why), !x.p.ExplicitTransaction)
	}
	return x.give(resolver.UnknownError(why), false)
}

func (x *exchange) settleRead(p *proof, commit resolver.Commit) attempt {
	if p == nil {
		p = x.s.beginProof()
	}
	res, err := x.s.confirmRead(p, x.row.Log)
	if err != nil {
		return x.give(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
	}
	commit.ReadOnly = true
	if commit.Resolve(res) == resolver.Done {
		return attempt{}
	}
	return x.give(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), true)
}
