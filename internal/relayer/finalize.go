package relayer

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/tracker"
)

// finalizeLost finalizes an exchange whose server connection was lost.
func (x *exchange) finalizeLost(err error) attemptResult {
	s := x.s
	wasActive := s.retainer.Transaction().IsOpen
	s.retainer.Lose(x.conn)
	if x.mayHaveCommitted() {
		return x.replaceAnswer(resolver.UnknownError(err.Error()), false)
	}
	if wasActive || (x.plan.LeavesTransactionOpen && len(x.plan.Executed) > 1) || x.partlySent {
		s.retainer.SetLostTransaction(wasActive || x.plan.LeavesTransactionOpen)
		return x.replaceAnswer(resolver.NotRunError(err.Error()), false)
	}
	return x.replaceAnswer(resolver.NotRunError(err.Error()), true)
}

// replaceAnswer drops the buffered answer and returns an error in its place.
func (x *exchange) replaceAnswer(failure *pgproto3.ErrorResponse, retry bool) attemptResult {
	x.s.out.Drop()
	return attemptResult{failure: failure, retry: retry && !x.partlySent}
}

// finalize decides, after ReadyForQuery, what becomes of the connection and of
// the answer.
func (x *exchange) finalize(p *certifier.Fresh) attemptResult {
	s := x.s
	if x.keyConflict != "" {
		return x.finalizeKeyConflict()
	}
	if x.status != 'I' && x.committed {
		return x.finalizeLost(connLost("the batch committed and left a transaction open"))
	}
	if x.status != 'I' {
		s.retainInTransaction(x)
		return x.finalizeInTransaction()
	}
	confirm := x.needsConfirmation()
	if confirm && x.statusRow == nil {
		if err := x.askStatus(); err != nil {
			return x.finalizeLost(err)
		}
	}
	inTx := s.retainer.Transaction().IsOpen
	s.acquirer.SetRunning(nil)
	s.retainer.Finish(x.conn, x.mustDiscard)
	defer s.acquirer.EndUse()
	if confirm {
		return x.finalizeConfirmed(p)
	}
	if x.err != nil && !inTx && resolver.ProvesNotRun(x.err) {
		x.recordRefusal()
	}
	if x.err != nil && !inTx && resolver.ProvesNotRun(x.err) && !s.retainer.IsPinned() {
		return x.replaceAnswer(resolver.NotRunError(x.err.Message+" ("+x.err.Code+")"), true)
	}
	return attemptResult{}
}

// retainInTransaction retains the connection inside a transaction.
func (s *Session) retainInTransaction(x *exchange) {
	s.retainer.KeepInTransaction(x.conn, retainer.Transaction{
		IsOpen: true, HasFailed: x.status == 'E', Evidence: x.evidence,
		IsReadOnly: s.retainer.Transaction().IsReadOnly || x.plan.RequestsReadOnly, MustDiscard: x.mustDiscard,
	})
}

// finalizeInTransaction fails the transaction if an error shows that the server
// no longer accepts writes, because the transaction could not commit.
func (x *exchange) finalizeInTransaction() attemptResult {
	s := x.s
	if x.err == nil || x.err.Code != resolver.CodeReadOnly || s.retainer.IsPinned() {
		return attemptResult{}
	}
	if s.retainer.Transaction().IsReadOnly {
		return attemptResult{}
	}
	s.retainer.FailTransaction()
	return x.replaceAnswer(resolver.NotRunError("the primary is being replaced"), false)
}

// finalizeConfirmed waits for the confirmation of a commit or a strict read.
func (x *exchange) finalizeConfirmed(p *certifier.Fresh) attemptResult {
	s := x.s
	commit := x.evidence.ApplyTo(resolver.Commit{Lower: x.lowerBound, Upper: x.statusRow.Log})
	// A server that is not the primary may have returned old data. Only a proved
	// write shows that it was the primary when it ran the batch.
	if x.statusRow.Role != tracker.RolePrimary && x.evidence != resolver.ProvedWrite {
		return x.finalizeNotPrimary()
	}
	if !x.plan.MayCommit && !x.committed {
		return x.finalizeStrictRead(p, commit)
	}
	fresh := x.committed || x.evidence != resolver.ProvedWrite
	res, err := s.certifier.Confirm(x.statusRow.Log, fresh)
	if err != nil {
		if x.evidence == resolver.ProvedReadOnly {
			return x.replaceAnswer(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
		}
		return x.replaceAnswer(resolver.UnknownError("position "+x.statusRow.Log.String()+" was not confirmed: "+err.Error()), false)
	}
	switch commit.Resolve(res) {
	case resolver.Done:
		s.r.counts.commits.Inc(1)
		s.minimum = s.minimum.WithCommit(x.statusRow.Log, s.r.clock.Now())
		s.sendToken(x.statusRow.Log)
		return attemptResult{}
	case resolver.NotRun:
		return x.replaceAnswer(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.statusRow.Log.Term)), !x.plan.ExplicitTransaction)
	}
	return x.replaceAnswer(resolver.UnknownError(fmt.Sprintf("term %d was replaced", x.statusRow.Log.Term)), false)
}

// finalizeNotPrimary answers a batch whose server, by its status row, is not the
// primary.
func (x *exchange) finalizeNotPrimary() attemptResult {
	why := "backend server " + x.conn.Server() + " is not the primary"
	if !x.plan.MayCommit || x.evidence == resolver.ProvedReadOnly {
		return x.replaceAnswer(resolver.NotRunError(why), !x.plan.ExplicitTransaction)
	}
	return x.replaceAnswer(resolver.UnknownError(why), false)
}

func (x *exchange) finalizeStrictRead(p *certifier.Fresh, commit resolver.Commit) attemptResult {
	if p == nil {
		p = x.s.certifier.StartFresh()
	}
	res, err := x.s.certifier.ConfirmRead(p, x.statusRow.Log)
	if err != nil {
		return x.replaceAnswer(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
	}
	commit.ReadOnly = true
	if commit.Resolve(res) == resolver.Done {
		return attemptResult{}
	}
	return x.replaceAnswer(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.statusRow.Log.Term)), true)
}

// sendToken sends the caller a session token with the position of its commit.
func (s *Session) sendToken(p tracker.Position) {
	token := s.r.deps.Tokener.Sign(s.caller.Name, s.groupName, p)
	if token != "" {
		s.out.Send(&pgproto3.ParameterStatus{Name: TokenParameter, Value: token})
	}
}

// TokenParameter names the session token, as a startup parameter and in
// ParameterStatus.
const TokenParameter = "marigold.session_token"
