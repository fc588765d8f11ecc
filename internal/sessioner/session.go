package sessioner

import (
	"errors"
	"maps"
	"os"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/authenticator"
	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/throttler"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxNames bounds the number of values, and of prepared statements, of a session.
	maxNames = 1024
	// startTimeout is how long a caller may take to name its database.
	startTimeout = 5 * time.Second
	// configurationWait is how long a caller that connects before the first
	// configuration is known waits for it; callers give up after 2 s.
	configurationWait = 1500 * time.Millisecond
)

// session is one caller's session. Only its own goroutine uses it, except that the
// server may interrupt its connection.
type session struct {
	*Server
	conn     Conn
	database string
	// identity is who the caller is. It is written under the server's mu.
	identity authenticator.Identity
	// isIdentified is set with the identity. Both are guarded by the server's mu.
	isIdentified bool

	values   map[string]string
	prepared map[string]exchanger.PreparedKey
	state    exchanger.State
	tx       *dispatcher.Transaction
	// operation is the open transaction in its team's quota, once isAdmitted is set.
	operation  throttler.Operation
	isAdmitted bool
	route      informer.Route
	// minPosition is the log position of the session's last commit, which its later
	// reads must cover.
	minPosition tracker.Position
	// minPositionAt is when that commit was acknowledged.
	minPositionAt time.Time
	// left is closed when the caller leaves while a statement runs.
	left  <-chan struct{}
	ahead aheadState
	// quietSince tells the server since when the session may be closed in favor of others.
	quietSince
}

func (s *session) serve() {
	defer s.conn.Close()
	if !s.handshake() {
		return
	}
	defer s.abandonTransaction()
	for s.awaitStatement() && s.serveStatement() {
	}
}

// serveStatement reads, runs and answers a statement. It returns false when the session ends.
// It is a function of its own so that the stack of a waiting session stays small.
func (s *session) serveStatement() bool {
	st, err := s.conn.ReadStatement()
	if err != nil {
		return false
	}
	began := s.Clock.Now()
	s.setBusy()
	left, stopWatch := s.watchCaller()
	s.left = left
	a := s.handle(st, began)
	stopWatch()
	s.record(st, a, began)
	pause := s.ahead.afterAnswer(a.Code, s.conn.HasNext())
	err = s.conn.WriteAnswer(a)
	if err == nil && pause > 0 {
		s.Clock.Sleep(pause)
	}
	// Not before the pause: the next statement has arrived and must be answered.
	if s.tx == nil {
		s.setQuiet(s.Clock.Now())
	}
	return err == nil
}

func (s *session) handshake() bool {
	start, err := s.conn.ReadStart(s.Clock.Now().Add(startTimeout))
	if err != nil {
		return false
	}
	received := s.Clock.Now()
	state, ok := s.awaitConfiguration()
	if !ok {
		s.conn.RefuseStart(exchanger.Busy, "no configuration is known yet; retry later")
		return false
	}
	route, ok := state.Route(start.Database)
	if !ok {
		s.conn.RefuseStart(exchanger.UnknownDatabase, "no route has this name")
		return false
	}
	id, err := s.Authenticator.Identify(route, start.Key, received)
	if err != nil {
		code, text := refusalOf(err)
		s.conn.RefuseStart(code, text)
		return false
	}
	s.database = start.Database
	s.setIdentity(id)
	s.setStarted(s.Clock.Now())
	return s.conn.WriteReady() == nil
}

func (s *session) awaitConfiguration() (*informer.State, bool) {
	timeout := s.Clock.After(configurationWait)
	for {
		changed := s.Informer.Changed()
		if state := s.Informer.State(); state.HasConfiguration() {
			return state, true
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, false
		}
	}
}

// awaitStatement waits for the caller's next statement. It returns false when the
// session ends: the caller has gone, its key was withdrawn, or the instance is stopping
// and the session is idle or its transaction had its time. A transaction that is idle too
// long is rolled back.
func (s *session) awaitStatement() bool {
	for {
		if s.isWithdrawn() {
			s.abandonTransaction()
			s.conn.End(exchanger.Denied, "no team holds the key any more; an open transaction is rolled back")
			return false
		}
		if s.mustEnd(s.state) {
			// A caller that sends its next statement at once would go on until the process ends.
			s.endStopping()
			return false
		}
		deadline, closing := s.idleDeadline()
		err := s.conn.Wait(deadline)
		passed := !deadline.IsZero() && !s.Clock.Now().Before(deadline)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case closing && passed:
			s.endStopping()
			return false
		case passed:
			s.Log.WithField("database", s.database).Info("sessioner: transaction was idle too long and is rolled back")
			s.abandonTransaction()
			s.state = exchanger.FailedTransaction
			s.setQuiet(s.Clock.Now())
		}
	}
}

// endStopping ends the session because the instance is stopping. What the caller has sent
// since the last answer is not run, and the error says so.
func (s *session) endStopping() {
	s.conn.End(exchanger.Busy, "the instance is stopping and ran nothing after its last answer; connect again")
}

// idleDeadline returns until when the session may stay idle, and whether it is
// closed then. The zero time means no limit.
func (s *session) idleDeadline() (deadline time.Time, closing bool) {
	if s.state == exchanger.Idle && s.isDraining() {
		return s.Clock.Now().Add(quietPeriod), true
	}
	if limit := s.idleLimit(); s.tx != nil && limit > 0 {
		return s.Clock.Now().Add(limit), false
	}
	return time.Time{}, false
}

// quietPeriod is how long a session of a stopping instance must have been idle
// before it is closed. A caller in the middle of its work sends its next statement
// one network round trip after an answer, some milliseconds later.
const quietPeriod = 60 * time.Millisecond

// idleLimit returns how long a transaction may stay idle; 0 means no limit.
func (s *session) idleLimit() time.Duration {
	if c := s.Informer.State().Configuration; c != nil {
		return c.IdleInTransaction
	}
	return 0
}

func (s *session) abandonTransaction() {
	if s.tx != nil {
		s.tx.Abandon()
		s.tx = nil
	}
}

func (s *session) handle(st exchanger.Statement, now time.Time) exchanger.Answer {
	switch s.state {
	case exchanger.FailedTransaction:
		return s.handleFailed(st)
	case exchanger.InTransaction:
		return s.handleInTransaction(st, now)
	}
	return s.handleIdle(st, now)
}

func (s *session) handleFailed(st exchanger.Statement) exchanger.Answer {
	switch st.Kind {
	case exchanger.Commit:
		s.endTransaction()
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the transaction had failed and is rolled back")
	case exchanger.Rollback:
		s.endTransaction()
		return exchanger.Acknowledgement(exchanger.Idle)
	}
	return exchanger.ErrorAnswer(exchanger.Malformed, exchanger.FailedTransaction, "the transaction has failed; only its end is accepted")
}

func (s *session) endTransaction() {
	s.abandonTransaction()
	s.state = exchanger.Idle
}

func (s *session) handleIdle(st exchanger.Statement, now time.Time) exchanger.Answer {
	if a, ok := s.handleLocally(st); ok {
		return a
	}
	switch st.Kind {
	case exchanger.Begin, exchanger.BeginReadOnly, exchanger.Read, exchanger.Write, exchanger.Execute:
	default:
		return exchanger.ErrorAnswer(exchanger.Malformed, exchanger.Idle, "statement is not understood here")
	}
	route, ok := s.Informer.State().Route(s.database)
	if !ok {
		return exchanger.ErrorAnswer(exchanger.UnknownDatabase, exchanger.Idle, "no route has this name any more")
	}
	s.route = route
	if err := s.authenticate(now); err != nil {
		code, text := refusalOf(err)
		return exchanger.ErrorAnswer(code, exchanger.Idle, text)
	}
	req, ok := s.request(st, now)
	if !ok {
		return exchanger.ErrorAnswer(exchanger.UnknownPrepared, exchanger.Idle, "no prepared statement has this name")
	}
	if st.Kind == exchanger.Begin || st.Kind == exchanger.BeginReadOnly {
		s.tx, s.isAdmitted = s.Dispatcher.Begin(req), false
		s.state = exchanger.InTransaction
		return exchanger.Acknowledgement(exchanger.InTransaction)
	}
	operation, err := s.admit(now)
	if err != nil {
		code, text := refusalOf(err)
		return exchanger.ErrorAnswer(code, exchanger.Idle, text)
	}
	a := s.Dispatcher.Run(req)
	settle(operation, a)
	if a.OK() && req.IsWrite() {
		s.advanceMinPosition(a)
	}
	return a
}

// advanceMinPosition makes the session's later reads cover a commit.
func (s *session) advanceMinPosition(a exchanger.Answer) {
	if a.Position.Compare(s.minPosition) > 0 {
		s.minPosition, s.minPositionAt = a.Position, s.Clock.Now()
	}
}

func (s *session) handleInTransaction(st exchanger.Statement, now time.Time) exchanger.Answer {
	if a, ok := s.handleLocally(st); ok {
		s.state = a.State
		return a
	}
	if err := s.authenticate(now); err != nil {
		a := s.refuseInTransaction(st, err)
		s.state = a.State
		return a
	}
	req, prepared := s.request(st, now)
	if prepared && reachesServer(st.Kind) {
		if err := s.admitTransaction(now); err != nil {
			a := s.refuseInTransaction(st, err)
			s.state = a.State
			return a
		}
	}
	var a exchanger.Answer
	switch {
	case !prepared:
		a = s.failTransaction(exchanger.UnknownPrepared, "no prepared statement has this name")
	case st.Kind == exchanger.Commit:
		a = s.tx.Commit(req)
		// The operation of a transaction whose statements have run is settled already.
		settle(s.operation, a)
		s.tx = nil
		if a.OK() {
			s.advanceMinPosition(a)
		}
	case st.Kind == exchanger.Rollback:
		a = s.tx.Rollback(req)
		s.tx = nil
	case reachesServer(st.Kind):
		a = s.tx.Run(req)
		// A transaction whose first statement has not run has not begun at a server.
		settle(s.operation, a)
	default:
		a = s.failTransaction(exchanger.Malformed, "statement is not understood inside a transaction")
	}
	s.state = a.State
	return a
}

func (s *session) failTransaction(code exchanger.Code, text string) exchanger.Answer {
	s.abandonTransaction()
	return exchanger.ErrorAnswer(code, exchanger.FailedTransaction, text)
}

// noMemory is what a caller is told whose session state the process has no memory for.
const noMemory = "the instance has no memory for more session state"

// refuseState refuses a value or a prepared statement for lack of memory. The refusal promises
// that nothing of the transaction is kept, so an open one is rolled back.
func (s *session) refuseState() exchanger.Answer {
	if s.tx != nil {
		return s.failTransaction(exchanger.Busy, noMemory)
	}
	return exchanger.ErrorAnswer(exchanger.Busy, s.state, noMemory)
}

// keptEntry is about what an entry of a map takes besides its texts, in bytes.
const keptEntry = 64

// keptSize returns what a value takes in memory; the name counts unless it is known.
func keptSize(known bool, name, value string) int {
	if known {
		return len(value)
	}
	return len(name) + len(value) + keptEntry
}

// handleLocally answers statements that need no server: settings and prepared
// statements.
func (s *session) handleLocally(st exchanger.Statement) (exchanger.Answer, bool) {
	switch st.Kind {
	case exchanger.Set:
		old, known := s.values[st.Name]
		if !known && len(s.values) >= maxNames {
			return exchanger.ErrorAnswer(exchanger.TooLarge, s.state, "the session has too many values"), true
		}
		if !s.conn.Keep(keptSize(known, st.Name, st.Value) - len(old)) {
			return s.refuseState(), true
		}
		// Attempts of an earlier hedged read may still use the previous map. The clones
		// do not keep the whole message in memory.
		s.values = maps.Clone(s.values)
		s.values[strings.Clone(st.Name)] = strings.Clone(st.Value)
	case exchanger.Prepare:
		old, known := s.prepared[st.Name]
		if !known && len(s.prepared) >= maxNames {
			return exchanger.ErrorAnswer(exchanger.TooLarge, s.state, "the session has too many prepared statements"), true
		}
		if !s.conn.Keep(keptSize(known, st.Name, st.Template) - len(old.Template)) {
			return s.refuseState(), true
		}
		s.prepared[strings.Clone(st.Name)] = exchanger.PreparedKey{Kind: st.PreparedKind, Template: strings.Clone(st.Template)}
	case exchanger.Deallocate:
		old, known := s.prepared[st.Name]
		if !known {
			return exchanger.ErrorAnswer(exchanger.UnknownPrepared, s.state, "no prepared statement has this name"), true
		}
		s.conn.Keep(-keptSize(false, st.Name, old.Template))
		delete(s.prepared, st.Name)
	default:
		return exchanger.Answer{}, false
	}
	return exchanger.Acknowledgement(s.state), true
}

// request adds the session's context to a statement. It returns false if the
// statement names an unknown prepared statement.
func (s *session) request(st exchanger.Statement, now time.Time) (dispatcher.Request, bool) {
	route := s.route
	if s.ahead.isAhead {
		route.Priority += aheadPriority
	}
	req := dispatcher.Request{
		Statement: st, Team: s.identity.Team, Context: linker.Context{Values: s.values}, Route: route,
		Received: now, Left: s.left, MinPosition: s.minPosition, MinPositionAt: s.minPositionAt,
	}
	if st.Kind == exchanger.Execute {
		key, ok := s.prepared[st.Name]
		if !ok {
			return req, false
		}
		req.Context.Prepared = &key
	}
	return req, true
}
