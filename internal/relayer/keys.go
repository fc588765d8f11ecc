package relayer

import (
	"strings"
	"unicode"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	keySetting     = "marigold.request_key"
	outcomeSetting = "marigold.request_outcome"
	// maxKeyBytes is the longest request key.
	maxKeyBytes = 200

	// outcomeDone and outcomeNotRun are the values of the column outcome of
	// table marigold_request, and the answers of SHOW marigold.request_outcome.
	outcomeDone   = "done"
	outcomeNotRun = "not_run"
)

// ValidKey reports whether a text may be a request key: printable, without
// backslash, at most 200 bytes.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, r := range key {
		if r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func validKey(key string) *pgproto3.ErrorResponse {
	if ValidKey(key) {
		return nil
	}
	return resolver.Error(resolver.CodeInvalidValue, "invalid value for marigold.request_key",
		"A request key has 1 to 200 bytes of printable characters without backslash.")
}

func unknownSetting(name string) *pgproto3.ErrorResponse {
	return resolver.Error(resolver.CodeUnknownSetting, "unrecognized configuration parameter \""+name+"\"", "")
}

// quote returns a string literal. Keys have no backslash, so the literal is
// the same under every setting of standard_conforming_strings.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func (s *Session) insertKey(key, outcome string) string {
	caller := strings.ReplaceAll(s.caller.Name, `\`, "")
	return "INSERT INTO marigold_request (request_key, outcome, caller) VALUES (" +
		quote(key) + ", " + quote(outcome) + ", " + quote(caller) + ")"
}

func selectKey(key string) string {
	return "SELECT outcome FROM marigold_request WHERE request_key = " + quote(key)
}

// replaceKeys puts the insert of the request key in place of SET LOCAL
// marigold.request_key.
func (s *Session) replaceKeys(text string, list []classifier.Statement) string {
	var b strings.Builder
	last := 0
	for _, st := range list {
		if !keepsKey(st) {
			continue
		}
		b.WriteString(text[last:st.Start])
		b.WriteString(s.insertKey(st.Value, outcomeDone))
		last = st.End
	}
	if last == 0 {
		return text
	}
	b.WriteString(text[last:])
	return b.String()
}

// setHub runs SET of a marigold setting for the session.
func (s *Session) setHub(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	if st.Setting != keySetting {
		return localAnswer{}, unknownSetting(st.Setting)
	}
	if !st.HasValue {
		s.key = ""
		return localAnswer{tag: "RESET"}, nil
	}
	if failure := validKey(st.Value); failure != nil {
		return localAnswer{}, failure
	}
	s.key = st.Value
	return localAnswer{tag: "SET"}, nil
}

func (s *Session) showHub(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	a := localAnswer{column: st.Setting, tag: "SHOW"}
	switch st.Setting {
	case keySetting:
		a.value = s.key
		return a, nil
	case outcomeSetting:
		var failure *pgproto3.ErrorResponse
		a.value, failure = s.requestOutcome()
		return a, failure
	}
	return a, unknownSetting(st.Setting)
}

// requestOutcome returns the outcome of the request with the session's key. It
// closes the key with outcome not_run; if that commit is confirmed, the
// request can never commit. A key that exists already tells the outcome.
func (s *Session) requestOutcome() (string, *pgproto3.ErrorResponse) {
	switch {
	case s.key == "":
		return "", resolver.Error(resolver.CodeInvalidValue, "marigold.request_key is not set", "")
	case s.held.tx.active:
		return "", resolver.Error("25001", "SHOW marigold.request_outcome cannot run inside a transaction block", "")
	}
	conn, failure := s.acquirePrimary(s.newWait(), pooler.Submission)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	x := s.newExchange(conn, &batch{query: &pgproto3.Query{}}, p)
	return x.closeKey(s.key)
}

func (x *exchange) closeKey(key string) (string, *pgproto3.ErrorResponse) {
	s := x.s
	defer s.leavePrimary()
	s.setRunning(x.conn)
	r, err := x.query(s.insertKey(key, outcomeNotRun))
	switch {
	case err != nil:
		x.dispose(false)
		return "", resolver.UnknownError(err.Error())
	case r.err == nil:
		x.evidence = resolver.ProvedWrite
		return outcomeNotRun, x.confirmInternal()
	case resolver.ProvesNotRun(r.err):
		x.dispose(true)
		return "", resolver.NotRunError(r.err.Message)
	case r.err.Code != resolver.CodeUniqueViolation:
		x.dispose(true)
		return "", r.err
	}
	return x.readKey(key)
}

// readKey reads the outcome that is stored for a key, as a strict read, and
// gives the connection back.
func (x *exchange) readKey(key string) (string, *pgproto3.ErrorResponse) {
	r, err := x.query(selectKey(key))
	if err != nil {
		x.dispose(false)
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

// confirmInternal confirms what the exchange did and gives its connection
// back.
func (x *exchange) confirmInternal() *pgproto3.ErrorResponse {
	err := x.askStatus()
	x.dispose(err == nil)
	switch {
	case err != nil:
		return resolver.UnknownError(err.Error())
	case x.row.Role != tracker.RolePrimary && x.evidence != resolver.ProvedWrite:
		return resolver.UnknownError("backend server " + x.conn.Server() + " is not the primary")
	}
	res, err := x.s.confirm(x.row.Log, x.evidence != resolver.ProvedWrite)
	if err != nil {
		return resolver.UnknownError(err.Error())
	}
	commit := x.evidence.Commit(resolver.Commit{Lower: x.lower, Upper: x.row.Log})
	if commit.Resolve(res) != resolver.Done {
		return resolver.UnknownError("the primary was replaced")
	}
	x.s.raiseFloor(x.row.Log)
	return nil
}

// dispose gives back the connection of a statement of the proxy's own.
func (x *exchange) dispose(atRest bool) {
	s := x.s
	s.setRunning(nil)
	switch {
	case x.pinned && atRest:
		s.held.conn = x.conn
	case x.pinned:
		s.held.conn = x.conn
		s.dropHeld()
	case atRest:
		x.conn.Release()
	default:
		x.conn.Discard()
	}
}

// settleKeyClash answers a keyed request whose key exists already. The
// transaction is rolled back; what is stored for the key decides the answer.
func (x *exchange) settleKeyClash() attempt {
	s := x.s
	s.lost = true
	defer s.leavePrimary()
	x.pinned = s.pinned()
	s.held = held{pinned: s.held.pinned}
	s.portals = nil
	outcome, failure := x.rollBackAndRead()
	switch {
	case failure != nil:
		return x.give(failure, false)
	case outcome == outcomeDone:
		return x.give(resolver.Error(resolver.CodeAlreadyRan, "request already ran", "Its first run is done and survives."), false)
	}
	return x.give(resolver.NotRunError("its request key was closed as not run; a new request needs a new key"), false)
}

func (x *exchange) rollBackAndRead() (string, *pgproto3.ErrorResponse) {
	r, err := x.query("ROLLBACK")
	if err != nil || r.status != 'I' {
		x.dispose(false)
		return "", resolver.UnknownError("the stored outcome of the request key was not read")
	}
	return x.readKey(x.keyClash)
}
