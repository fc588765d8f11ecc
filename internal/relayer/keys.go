package relayer

import (
	"strings"
	"unicode"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	requestKeySetting     = "marigold.request_key"
	requestOutcomeSetting = "marigold.request_outcome"
	// maxRequestKeyBytes is the length of the longest request key.
	maxRequestKeyBytes = 200

	// outcomeDone and outcomeNotRun are the values of column outcome of table
	// marigold_request, and the answers to SHOW marigold.request_outcome.
	outcomeDone   = "done"
	outcomeNotRun = "not_run"
)

// ValidRequestKey reports whether key may be a request key: 1 to 200 bytes of
// printable characters without backslash.
func ValidRequestKey(key string) bool {
	if key == "" || len(key) > maxRequestKeyBytes {
		return false
	}
	for _, r := range key {
		if r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func checkRequestKey(key string) *pgproto3.ErrorResponse {
	if ValidRequestKey(key) {
		return nil
	}
	return resolver.Error(resolver.CodeInvalidValue, "invalid value for marigold.request_key",
		"A request key has 1 to 200 bytes of printable characters without backslash.")
}

func unknownSetting(name string) *pgproto3.ErrorResponse {
	return resolver.Error(resolver.CodeUnknownSetting, "unrecognized configuration parameter \""+name+"\"", "")
}

// quoteLiteral returns an SQL string literal. Values have no backslash, so the
// literal is the same under every setting of standard_conforming_strings.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func (s *Session) insertKeySQL(key, outcome string) string {
	caller := strings.ReplaceAll(s.caller.Name, `\`, "")
	return "INSERT INTO marigold_request (request_key, outcome, caller) VALUES (" +
		quoteLiteral(key) + ", " + quoteLiteral(outcome) + ", " + quoteLiteral(caller) + ")"
}

func selectKeySQL(key string) string {
	return "SELECT outcome FROM marigold_request WHERE request_key = " + quoteLiteral(key)
}

// rewriteRequestKeys replaces each SET LOCAL marigold.request_key by the INSERT
// of the request key.
func (s *Session) rewriteRequestKeys(text string, list []classifier.Statement) string {
	var b strings.Builder
	last := 0
	for _, st := range list {
		if !setsRequestKey(st) {
			continue
		}
		b.WriteString(text[last:st.Start])
		b.WriteString(s.insertKeySQL(st.Value, outcomeDone))
		last = st.End
	}
	if last == 0 {
		return text
	}
	b.WriteString(text[last:])
	return b.String()
}

// setMarigoldSetting runs SET or RESET of a marigold setting for the session.
func (s *Session) setMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	if st.Setting != requestKeySetting {
		return localAnswer{}, unknownSetting(st.Setting)
	}
	if !st.HasValue {
		s.requestKey = ""
		return localAnswer{tag: "RESET"}, nil
	}
	if failure := checkRequestKey(st.Value); failure != nil {
		return localAnswer{}, failure
	}
	s.requestKey = st.Value
	return localAnswer{tag: "SET"}, nil
}

func (s *Session) showMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	a := localAnswer{column: st.Setting, tag: "SHOW"}
	switch st.Setting {
	case requestKeySetting:
		a.value = s.requestKey
		return a, nil
	case requestOutcomeSetting:
		var failure *pgproto3.ErrorResponse
		a.value, failure = s.requestOutcome()
		return a, failure
	}
	return a, unknownSetting(st.Setting)
}

// requestOutcome returns the outcome of the request with the session's key. It
// inserts the key with outcome not_run. If that commit is confirmed, the
// request can never commit. If the key exists already, its row has the outcome.
func (s *Session) requestOutcome() (string, *pgproto3.ErrorResponse) {
	switch {
	case s.requestKey == "":
		return "", resolver.Error(resolver.CodeInvalidValue, "marigold.request_key is not set", "")
	case s.retained.tx.active:
		return "", resolver.Error("25001", "SHOW marigold.request_outcome cannot run inside a transaction block", "")
	}
	conn, failure := s.acquirePrimary(s.newPrimaryWait(), pooler.Write)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	x := s.newExchange(conn, &batcher.Batch{Query: &pgproto3.Query{}}, p)
	return x.closeKey(s.requestKey)
}

func (x *exchange) closeKey(key string) (string, *pgproto3.ErrorResponse) {
	s := x.s
	defer s.endPrimaryUse()
	s.setRunning(x.conn)
	r, err := x.query(s.insertKeySQL(key, outcomeNotRun))
	switch {
	case err != nil:
		x.finishInternal(false)
		return "", resolver.UnknownError(err.Error())
	case r.err == nil:
		x.evidence = resolver.ProvedWrite
		return outcomeNotRun, x.confirmInternal()
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
	r, err := x.query(selectKeySQL(key))
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
	res, err := x.s.confirm(x.statusRow.Log, x.evidence != resolver.ProvedWrite)
	if err != nil {
		return resolver.UnknownError(err.Error())
	}
	commit := x.evidence.ApplyTo(resolver.Commit{Lower: x.lowerBound, Upper: x.statusRow.Log})
	if commit.Resolve(res) != resolver.Done {
		return resolver.UnknownError("the primary was replaced")
	}
	x.s.raiseMinPosition(x.statusRow.Log)
	return nil
}

// finishInternal ends the use of a connection by the proxy's own statements.
func (x *exchange) finishInternal(clean bool) {
	s := x.s
	s.setRunning(nil)
	switch {
	case x.onPinnedConn && clean:
		s.retained.conn = x.conn
	case x.onPinnedConn:
		s.retained.conn = x.conn
		s.discardRetained()
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
	s.txLost = true
	defer s.endPrimaryUse()
	x.onPinnedConn = s.pinned()
	s.retained = retainedConn{pinned: s.retained.pinned}
	s.portals = nil
	outcome, failure := x.rollBackAndReadOutcome()
	switch {
	case failure != nil:
		return x.replaceAnswer(failure, false)
	case outcome == outcomeDone:
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
