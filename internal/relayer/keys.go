package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/tracker"
)

// setMarigoldSetting runs SET or RESET of a marigold setting for the session.
func (s *Session) setMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	if st.Setting != rewriter.KeySetting {
		return localAnswer{}, rewriter.UnknownSetting(st.Setting)
	}
	if !st.HasValue {
		s.requestKey = ""
		return localAnswer{tag: "RESET"}, nil
	}
	if failure := rewriter.CheckKey(st.Value); failure != nil {
		return localAnswer{}, failure
	}
	s.requestKey = st.Value
	return localAnswer{tag: "SET"}, nil
}

func (s *Session) showMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	a := localAnswer{column: st.Setting, tag: "SHOW"}
	switch st.Setting {
	case rewriter.KeySetting:
		a.value = s.requestKey
		return a, nil
	case rewriter.OutcomeSetting:
		var failure *pgproto3.ErrorResponse
		a.value, failure = s.requestOutcome()
		return a, failure
	}
	return a, rewriter.UnknownSetting(st.Setting)
}

// requestOutcome returns the outcome of the request with the session's key. It
// inserts the key with outcome not_run. If that commit is confirmed, the
// request can never commit. If the key exists already, its row has the outcome.
func (s *Session) requestOutcome() (string, *pgproto3.ErrorResponse) {
	switch {
	case s.requestKey == "":
		return "", resolver.Error(resolver.CodeInvalidValue, "marigold.request_key is not set", "")
	case s.retainer.Transaction().IsOpen:
		return "", resolver.Error("25001", "SHOW marigold.request_outcome cannot run inside a transaction block", "")
	}
	conn, failure := s.acquirer.Primary(s.acquirer.NewWait(), pooler.Write)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	x := s.newExchange(conn, &batcher.Batch{Query: &pgproto3.Query{}}, p)
	return x.closeKey(s.requestKey)
}

func (x *exchange) closeKey(key string) (string, *pgproto3.ErrorResponse) {
	s := x.s
	defer s.acquirer.EndUse()
	s.acquirer.SetRunning(x.conn)
	r, err := x.query(s.parser.Keys.Insert(key, rewriter.OutcomeNotRun))
	switch {
	case err != nil:
		x.finishInternal(false)
		return "", resolver.UnknownError(err.Error())
	case r.err == nil:
		x.evidence = resolver.ProvedWrite
		return rewriter.OutcomeNotRun, x.confirmInternal()
	case resolver.ProvesNotRun(r.err):
		x.finishInternal(true)
		return "", resolver.NotRunError(r.err.Message)
	case r.err.Code != resolver.CodeUniqueViolation:
		x.finishInternal(true)
		return "", r.err
	}
	return x.readOutcome(key)
}

// readOutcome reads the outcome that is stored for a key, as a strict read, and
// ends the use of the connection.
func (x *exchange) readOutcome(key string) (string, *pgproto3.ErrorResponse) {
	r, err := x.query(x.s.parser.Keys.Select(key))
	if err != nil {
		x.finishInternal(false)
		return "", resolver.UnknownError(err.Error())
	}
	x.evidence = resolver.Unproved
	if failure := x.confirmInternal(); failure != nil {
		return "", failure
	}
	if r.err != nil {
		return "", r.err
	}
	if len(r.values) == 0 || len(r.values[0]) == 0 {
		return "", resolver.UnknownError("the request key is in use by a request that has not ended")
	}
	return r.values[0][0], nil
}

// confirmInternal confirms the proxy's own statement and ends the use of its
// connection.
func (x *exchange) confirmInternal() *pgproto3.ErrorResponse {
	err := x.askStatus()
	x.finishInternal(err == nil)
	switch {
	case err != nil:
		return resolver.UnknownError(err.Error())
	case x.statusRow.Role != tracker.RolePrimary && x.evidence != resolver.ProvedWrite:
		return resolver.UnknownError("backend server " + x.conn.Server() + " is not the primary")
	}
	res, err := x.s.certifier.Confirm(x.statusRow.Log, x.evidence != resolver.ProvedWrite)
	if err != nil {
		return resolver.UnknownError(err.Error())
	}
	commit := x.evidence.ApplyTo(resolver.Commit{Lower: x.lowerBound, Upper: x.statusRow.Log})
	if commit.Resolve(res) != resolver.Done {
		return resolver.UnknownError("the primary was replaced")
	}
	x.s.minimum = x.s.minimum.WithCommit(x.statusRow.Log, x.s.r.clock.Now())
	return nil
}

// finishInternal ends the use of a connection by the proxy's own statements.
func (x *exchange) finishInternal(clean bool) {
	s := x.s
	s.acquirer.SetRunning(nil)
	switch {
	case x.onPinnedConn && clean:
		s.retainer.Keep(x.conn)
	case x.onPinnedConn:
		s.retainer.Lose(x.conn)
	case clean:
		x.conn.Release()
	default:
		x.conn.Discard()
	}
}

// finalizeKeyConflict answers a request whose key exists already. The
// transaction is rolled back; the outcome stored for the key decides the answer.
func (x *exchange) finalizeKeyConflict() attemptResult {
	s := x.s
	s.retainer.SetLostTransaction(true)
	defer s.acquirer.EndUse()
	x.onPinnedConn = s.retainer.IsPinned()
	s.retainer.EndTransaction()
	outcome, failure := x.rollBackAndReadOutcome()
	switch {
	case failure != nil:
		return x.replaceAnswer(failure, false)
	case outcome == rewriter.OutcomeDone:
		return x.replaceAnswer(resolver.Error(resolver.CodeAlreadyRan, "request already ran", "Its first run is done and survives."), false)
	}
	return x.replaceAnswer(resolver.NotRunError("its request key was closed as not run; a new request needs a new key"), false)
}

func (x *exchange) rollBackAndReadOutcome() (string, *pgproto3.ErrorResponse) {
	r, err := x.query("ROLLBACK")
	if err != nil || r.status != 'I' {
		x.finishInternal(false)
		return "", resolver.UnknownError("the stored outcome of the request key was not read")
	}
	return x.readOutcome(x.keyConflict)
}
