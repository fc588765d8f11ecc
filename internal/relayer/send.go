package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/prober"
)

// expectation is one response that the server will send, or that the proxy
// inserts at this place.
type expectation struct {
	// kind is the type of the message: 'P', 'B', 'D', 'E' or 'C'.
	kind byte
	// synthetic is the answer to a message that is not sent to the server.
	synthetic pgproto3.BackendMessage
	// hidden marks the response to a message that the proxy added; it is not
	// passed on.
	hidden bool
	// onSuccess is called when the response arrives or the proxy inserts it.
	onSuccess func()
	// statement is what an Execute message runs.
	statement classifier.Statement
}

// segmentBytes is the size of the requests that are sent before their responses
// are read. It fits into the socket buffers, so that proxy and server never
// block each other by writing.
const segmentBytes = 16 << 10

// sendBatch sends the batch. Unless it ends with Flush, Sync and the status
// query follow.
func (x *exchange) sendBatch() error {
	if x.batch.Query != nil {
		x.conn.Send(&pgproto3.Query{String: x.s.keys.Rewrite(x.batch.Query.String, x.plan.Executed)})
		return x.sendEnd(false)
	}
	pending := 0
	for _, m := range x.batch.Messages {
		size := messageSize(m)
		if pending > 0 && pending+size > segmentBytes {
			if err := x.drainSegment(); err != nil {
				return err
			}
			pending = 0
		}
		if x.skipping {
			break
		}
		x.translate(m)
		pending += size
	}
	if x.batch.Flushed {
		return x.drainSegment()
	}
	return x.sendEnd(true)
}

func (x *exchange) sendEnd(sync bool) error {
	if sync {
		x.conn.Send(&pgproto3.Sync{})
	}
	if x.pipelinesStatus() {
		x.conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	}
	return x.flushConn()
}

func (x *exchange) flushConn() error {
	if err := x.conn.Flush(); err != nil {
		return connLost("connection to backend server %s was lost", x.conn.Server())
	}
	return nil
}

// drainSegment reads the responses to everything that was sent so far.
func (x *exchange) drainSegment() error {
	if x.skipping {
		return nil
	}
	x.conn.Send(&pgproto3.Flush{})
	if err := x.flushConn(); err != nil {
		return err
	}
	return x.receiveUntil(func() bool { return len(x.expected) == 0 })
}

func messageSize(m pgproto3.FrontendMessage) int {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return 64 + len(m.Query)
	case *pgproto3.Bind:
		n := 64
		for _, p := range m.Parameters {
			n += 4 + len(p)
		}
		return n
	}
	return 64
}

// translate sends one message with the server-side names of statements.
func (x *exchange) translate(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		x.sendParse(m)
	case *pgproto3.Bind:
		x.sendBind(m)
	case *pgproto3.Describe:
		x.sendDescribe(m)
	case *pgproto3.Execute:
		x.send(expectation{kind: 'E', statement: x.executedStatement(m.Portal)}, m)
	case *pgproto3.Close:
		x.sendClose(m)
	}
}

func (x *exchange) send(e expectation, m pgproto3.FrontendMessage) {
	x.expected = append(x.expected, e)
	x.conn.Send(m)
}

func (x *exchange) synthesize(m pgproto3.BackendMessage, onSuccess func()) {
	x.expected = append(x.expected, expectation{synthetic: m, onSuccess: onSuccess})
}

// newStatement returns the statement of a Parse message.
func (s *Session) newStatement(m *pgproto3.Parse) *preparer.Statement {
	r := s.r.deps.Classifier.Classify(m.Query)
	return preparer.NewStatement(m, s.keys.Rewrite(m.Query, r.Statements), r)
}

func (x *exchange) sendParse(m *pgproto3.Parse) {
	s := x.s
	st := s.newStatement(m)
	if m.Name == "" {
		x.unnamedPrepared = true
		setEntry(&x.prepared, "", st)
		x.send(expectation{kind: 'P', onSuccess: func() { x.recordStatement("", st) }}, st.Parse(""))
		return
	}
	if _, exists := x.statement(m.Name); exists {
		// The server reports the duplicate itself.
		x.ensurePrepared(st)
		x.send(expectation{kind: 'P'}, st.Parse(st.ServerName))
		return
	}
	record := func() { x.recordStatement(m.Name, st) }
	if x.conn.HasStatement(st.ServerName) || x.preparedOnConn[st.ServerName] {
		x.synthesize(&pgproto3.ParseComplete{}, record)
	} else {
		x.send(expectation{kind: 'P', onSuccess: func() {
			x.conn.AddStatement(st.ServerName)
			record()
		}}, st.Parse(st.ServerName))
	}
	setEntry(&x.prepared, m.Name, st)
	setEntry(&x.preparedOnConn, st.ServerName, true)
}

// recordStatement records that the caller prepared a statement, or closed it if
// st is nil. The change is applied when the answer is final, since the batch
// may be run again.
func (x *exchange) recordStatement(name string, st *preparer.Statement) {
	x.changes = append(x.changes, statementChange{name, st})
}

// statementChange is a change to the caller's prepared statements.
type statementChange struct {
	name string
	st   *preparer.Statement
}

// applyStatementChanges stores the statements that the batch prepared. A caller
// that exceeds the limits of a session gets an error when it uses the dropped
// statement.
func (x *exchange) applyStatementChanges() {
	for _, c := range x.changes {
		if c.st == nil {
			x.s.stmts.Remove(c.name)
		} else if err := x.s.stmts.Put(c.name, c.st); err != nil {
			x.s.r.log.WithField("caller", x.s.caller.Name).Warn("relayer: prepared statement dropped, too many in one session")
		}
	}
	x.changes = nil
}

// statement returns the caller's statement of that name, as of this point of
// the batch.
func (x *exchange) statement(name string) (*preparer.Statement, bool) {
	if st, ok := x.prepared[name]; ok {
		return st, st != nil
	}
	return x.s.stmts.Get(name)
}

// ensurePrepared prepares a statement on this connection if it is missing.
func (x *exchange) ensurePrepared(st *preparer.Statement) {
	if x.conn.HasStatement(st.ServerName) || x.preparedOnConn[st.ServerName] {
		return
	}
	setEntry(&x.preparedOnConn, st.ServerName, true)
	x.send(expectation{kind: 'P', hidden: true, onSuccess: func() { x.conn.AddStatement(st.ServerName) }},
		st.Parse(st.ServerName))
}

// serverStatementName returns the server-side name of a caller's statement. It
// prepares the statement on this connection if it is missing.
func (x *exchange) serverStatementName(name string) string {
	if name == "" && x.unnamedPrepared {
		return ""
	}
	st, ok := x.statement(name)
	switch {
	case !ok:
		return preparer.UnknownServerName(name)
	case name == "":
		x.unnamedPrepared = true
		x.send(expectation{kind: 'P', hidden: true}, st.Parse(""))
		return ""
	}
	x.ensurePrepared(st)
	return st.ServerName
}

func (x *exchange) sendBind(m *pgproto3.Bind) {
	bind := *m
	bind.PreparedStatement = x.serverStatementName(m.PreparedStatement)
	portal, result := m.DestinationPortal, x.resultOf(m.PreparedStatement)
	if result != nil {
		x.s.retainer.Portals.Set(portal, result)
	}
	x.send(expectation{kind: 'B'}, &bind)
}

func (x *exchange) resultOf(name string) *classifier.Result {
	if st, ok := x.statement(name); ok {
		return st.Result
	}
	return nil
}

// executedStatement returns the statement that Execute runs on the portal.
func (x *exchange) executedStatement(portal string) classifier.Statement {
	if r, ok := x.s.retainer.Portals.Get(portal); ok {
		if st, single := r.Single(); single {
			return st
		}
		return classifier.Statement{Kind: classifier.Empty}
	}
	return classifier.Statement{Kind: classifier.Unparsed}
}

func (x *exchange) sendDescribe(m *pgproto3.Describe) {
	describe := *m
	if m.ObjectType == 'S' {
		describe.Name = x.serverStatementName(m.Name)
	}
	x.send(expectation{kind: 'D'}, &describe)
}

func (x *exchange) sendClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		// Other callers may use the server-side statement, so it stays.
		setEntry(&x.prepared, m.Name, nil)
		x.synthesize(&pgproto3.CloseComplete{}, func() { x.recordStatement(m.Name, nil) })
		return
	}
	x.send(expectation{kind: 'C'}, m)
}
