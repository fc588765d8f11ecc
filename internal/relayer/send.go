package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/prober"
)

// expectation is one response that the server owes, or that the proxy makes
// when its turn comes.
type expectation struct {
	// kind is the type of the message: 'P', 'B', 'D', 'E' or 'C'.
	kind byte
	// synthetic is the answer to a message that is not sent to the server.
	synthetic pgproto3.BackendMessage
	// hidden drops the answer to a message that the caller did not send.
	hidden bool
	// onSuccess is called when the response arrived, or when the synthetic
	// answer is made.
	onSuccess func()
	// statement is what an execution runs.
	statement classifier.Statement
}

// segmentBytes is the amount of requests that is sent before their responses
// are read. It fits into socket buffers, so that proxy and server never block
// each other by writing.
const segmentBytes = 16 << 10

// sendBatch sends the batch, with Sync and the status query at its end unless
// it was flushed.
func (x *exchange) sendBatch() error {
	if x.b.query != nil {
		x.conn.Send(&pgproto3.Query{String: x.s.replaceKeys(x.b.query.String, x.p.Executed)})
		return x.sendEnd(false)
	}
	pending := 0
	for _, m := range x.b.msgs {
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
	if x.b.flushed {
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
		return lost("connection to backend server %s was lost", x.conn.Server())
	}
	return nil
}

// drainSegment reads the responses to everything sent so far.
func (x *exchange) drainSegment() error {
	if x.skipping {
		return nil
	}
	x.conn.Send(&pgproto3.Flush{})
	if err := x.flushConn(); err != nil {
		return err
	}
	return x.receiveUntil(func() bool { return len(x.queue) == 0 })
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

// translate sends one message with the names of the server side.
func (x *exchange) translate(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		x.sendParse(m)
	case *pgproto3.Bind:
		x.sendBind(m)
	case *pgproto3.Describe:
		x.sendDescribe(m)
	case *pgproto3.Execute:
		x.send(expectation{kind: 'E', statement: x.executes(m.Portal)}, m)
	case *pgproto3.Close:
		x.sendClose(m)
	}
}

func (x *exchange) send(e expectation, m pgproto3.FrontendMessage) {
	x.queue = append(x.queue, e)
	x.conn.Send(m)
}

func (x *exchange) synthesize(m pgproto3.BackendMessage, onSuccess func()) {
	x.queue = append(x.queue, expectation{synthetic: m, onSuccess: onSuccess})
}

// newStatement returns the statement of a Parse message.
func (s *Session) newStatement(m *pgproto3.Parse) *preparer.Statement {
	r := s.r.parts.Classifier.Classify(m.Query)
	return preparer.NewStatement(m, s.replaceKeys(m.Query, r.Statements), r)
}

func (x *exchange) sendParse(m *pgproto3.Parse) {
	s := x.s
	st := s.newStatement(m)
	if m.Name == "" {
		x.unnamed = true
		setEntry(&x.named, "", st)
		x.send(expectation{kind: 'P', onSuccess: func() { x.remember("", st) }}, st.Parse(""))
		return
	}
	if _, exists := x.statement(m.Name); exists {
		// The server reports the duplicate itself.
		x.ensure(st)
		x.send(expectation{kind: 'P'}, st.Parse(st.ServerName))
		return
	}
	remember := func() { x.remember(m.Name, st) }
	if x.conn.HasStatement(st.ServerName) || x.ensured[st.ServerName] {
		x.synthesize(&pgproto3.ParseComplete{}, remember)
	} else {
		x.send(expectation{kind: 'P', onSuccess: func() {
			x.conn.AddStatement(st.ServerName)
			remember()
		}}, st.Parse(st.ServerName))
	}
	setEntry(&x.named, m.Name, st)
	setEntry(&x.ensured, st.ServerName, true)
}

// remember notes a statement of the caller. It is kept when the answer is
// final, since the batch may be run again. A nil statement is closed.
func (x *exchange) remember(name string, st *preparer.Statement) {
	x.changes = append(x.changes, statementChange{name, st})
}

// statementChange is a change to the caller's prepared statements.
type statementChange struct {
	name string
	st   *preparer.Statement
}

// remembered keeps the statements that the batch prepared. A caller beyond the
// limits of a session is told when it uses the statement.
func (x *exchange) remembered() {
	for _, c := range x.changes {
		if c.st == nil {
			x.s.stmts.Remove(c.name)
		} else if err := x.s.stmts.Put(c.name, c.st); err != nil {
			x.s.r.log.WithField("caller", x.s.caller.Name).Warn("relayer: prepared statement dropped, too many in one session")
		}
	}
	x.changes = nil
}

// statement returns the statement of a name, as of this point of the batch.
func (x *exchange) statement(name string) (*preparer.Statement, bool) {
	if st, ok := x.named[name]; ok {
		return st, st != nil
	}
	return x.s.stmts.Get(name)
}

// ensure prepares a statement on this connection if it is missing.
func (x *exchange) ensure(st *preparer.Statement) {
	if x.conn.HasStatement(st.ServerName) || x.ensured[st.ServerName] {
		return
	}
	setEntry(&x.ensured, st.ServerName, true)
	x.send(expectation{kind: 'P', hidden: true, onSuccess: func() { x.conn.AddStatement(st.ServerName) }},
		st.Parse(st.ServerName))
}

// resolve returns the name on the server side of a caller's statement, which
// it prepares if that is needed.
func (x *exchange) resolve(name string) string {
	if name == "" && x.unnamed {
		return ""
	}
	st, ok := x.statement(name)
	switch {
	case !ok:
		return preparer.UnknownServerName(name)
	case name == "":
		x.unnamed = true
		x.send(expectation{kind: 'P', hidden: true}, st.Parse(""))
		return ""
	}
	x.ensure(st)
	return st.ServerName
}

func (x *exchange) sendBind(m *pgproto3.Bind) {
	bind := *m
	bind.PreparedStatement = x.resolve(m.PreparedStatement)
	portal, result := m.DestinationPortal, x.resultOf(m.PreparedStatement)
	if result != nil {
		setEntry(&x.s.portals, portal, result)
	}
	x.send(expectation{kind: 'B'}, &bind)
}

func (x *exchange) resultOf(name string) *classifier.Result {
	if st, ok := x.statement(name); ok {
		return st.Result
	}
	return nil
}

// executes returns what an execution of the portal runs.
func (x *exchange) executes(portal string) classifier.Statement {
	if r, ok := x.s.portals[portal]; ok {
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
		describe.Name = x.resolve(m.Name)
	}
	x.send(expectation{kind: 'D'}, &describe)
}

func (x *exchange) sendClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		// The statement on the server side may be in use by other callers.
		setEntry(&x.named, m.Name, nil)
		x.synthesize(&pgproto3.CloseComplete{}, func() { x.remember(m.Name, nil) })
		return
	}
	x.send(expectation{kind: 'C'}, m)
}
