package translator

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
)

// Config holds what a [Translator] needs.
type Config struct {
	// Conn is the server connection.
	Conn pooler.Conn
	// Statements are the caller's prepared statements, Portals those on the connection.
	Statements *preparer.Set
	Portals    *retainer.Portals
	Parser     Parser
}

// Parser makes prepared statements of a caller's Parse messages.
type Parser struct {
	Classifier *classifier.Classifier
	Keys       rewriter.Keys
}

// Statement returns the statement of a Parse message.
func (p Parser) Statement(m *pgproto3.Parse) *preparer.Statement {
	r := p.Classifier.Classify(m.Query)
	return preparer.NewStatement(m, p.Keys.Rewrite(m.Query, r.Statements), r)
}

// Translator translates one batch. It is used by one goroutine.
type Translator struct {
	cfg Config
	// expected are the responses that are still to come, in order.
	expected []expectation
	// prepared are the statements that the batch itself prepares or closes (nil),
	// by the caller's name. preparedOnConn are the server-side names of
	// statements that this batch uses and that exist on the connection.
	prepared       map[string]*preparer.Statement
	preparedOnConn map[string]bool
	// changes are applied to the session once the answer is final.
	changes []change
	// unnamedPrepared is set when the unnamed statement was prepared for this
	// batch, by the caller or by the proxy.
	unnamedPrepared bool
}

// New returns a translator.
func New(cfg Config) *Translator { return &Translator{cfg: cfg} }

// setEntry sets an entry of a map that most batches do not need.
func setEntry[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = make(map[string]V)
	}
	(*m)[key] = value
}

// change is a change to the caller's prepared statements; st is nil if the caller closed it.
type change struct {
	name string
	st   *preparer.Statement
}

// Apply makes the batch's changes to the caller's prepared statements and returns how many
// statements were dropped, because the limits of a session are exceeded. The caller gets an
// error when it uses one of them.
func (t *Translator) Apply() (dropped int) {
	for _, c := range t.changes {
		if c.st == nil {
			t.cfg.Statements.Remove(c.name)
		} else if err := t.cfg.Statements.Put(c.name, c.st); err != nil {
			dropped++
		}
	}
	t.changes = nil
	return dropped
}

// Translate sends one message with the server-side names of statements.
func (t *Translator) Translate(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		t.sendParse(m)
	case *pgproto3.Bind:
		t.sendBind(m)
	case *pgproto3.Describe:
		t.sendDescribe(m)
	case *pgproto3.Execute:
		t.send(expectation{kind: 'E', statement: t.executedStatement(m.Portal)}, m)
	case *pgproto3.Close:
		t.sendClose(m)
	}
}

func (t *Translator) send(e expectation, m pgproto3.FrontendMessage) {
	t.expected = append(t.expected, e)
	t.cfg.Conn.Send(m)
}

func (t *Translator) synthesize(m pgproto3.BackendMessage, onSuccess func()) {
	t.expected = append(t.expected, expectation{synthetic: m, onSuccess: onSuccess})
}

func (t *Translator) sendParse(m *pgproto3.Parse) {
	st := t.cfg.Parser.Statement(m)
	if m.Name == "" {
		t.unnamedPrepared = true
		setEntry(&t.prepared, "", st)
		t.send(expectation{kind: 'P', onSuccess: func() { t.record("", st) }}, st.Parse(""))
		return
	}
	if _, exists := t.statement(m.Name); exists {
		// The server reports the duplicate itself.
		t.ensurePrepared(st)
		t.send(expectation{kind: 'P'}, st.Parse(st.ServerName))
		return
	}
	record := func() { t.record(m.Name, st) }
	if t.cfg.Conn.HasStatement(st.ServerName) || t.preparedOnConn[st.ServerName] {
		t.synthesize(&pgproto3.ParseComplete{}, record)
	} else {
		t.send(expectation{kind: 'P', onSuccess: func() {
			t.cfg.Conn.AddStatement(st.ServerName)
			record()
		}}, st.Parse(st.ServerName))
	}
	setEntry(&t.prepared, m.Name, st)
	setEntry(&t.preparedOnConn, st.ServerName, true)
}

// record records that the caller prepared a statement, or closed it if st is nil.
func (t *Translator) record(name string, st *preparer.Statement) {
	t.changes = append(t.changes, change{name, st})
}

// statement returns the caller's statement of that name, as of this point of
// the batch.
func (t *Translator) statement(name string) (*preparer.Statement, bool) {
	if st, ok := t.prepared[name]; ok {
		return st, st != nil
	}
	return t.cfg.Statements.Get(name)
}

// ensurePrepared prepares a statement on this connection if it is missing.
func (t *Translator) ensurePrepared(st *preparer.Statement) {
	if t.cfg.Conn.HasStatement(st.ServerName) || t.preparedOnConn[st.ServerName] {
		return
	}
	setEntry(&t.preparedOnConn, st.ServerName, true)
	t.send(expectation{kind: 'P', hidden: true, onSuccess: func() { t.cfg.Conn.AddStatement(st.ServerName) }},
		st.Parse(st.ServerName))
}

// serverStatementName returns the server-side name of a caller's statement. It
// prepares the statement on this connection if it is missing.
func (t *Translator) serverStatementName(name string) string {
	if name == "" && t.unnamedPrepared {
		return ""
	}
	st, ok := t.statement(name)
	switch {
	case !ok:
		return preparer.UnknownServerName(name)
	case name == "":
		t.unnamedPrepared = true
		t.send(expectation{kind: 'P', hidden: true}, st.Parse(""))
		return ""
	}
	t.ensurePrepared(st)
	return st.ServerName
}

func (t *Translator) sendBind(m *pgproto3.Bind) {
	bind := *m
	bind.PreparedStatement = t.serverStatementName(m.PreparedStatement)
	portal, result := m.DestinationPortal, t.resultOf(m.PreparedStatement)
	if result != nil {
		t.cfg.Portals.Set(portal, result)
	}
	t.send(expectation{kind: 'B'}, &bind)
}

func (t *Translator) resultOf(name string) *classifier.Result {
	if st, ok := t.statement(name); ok {
		return st.Result
	}
	return nil
}

// executedStatement returns the statement that Execute runs on the portal.
func (t *Translator) executedStatement(portal string) classifier.Statement {
	if r, ok := t.cfg.Portals.Get(portal); ok {
		if st, single := r.Single(); single {
			return st
		}
		return classifier.Statement{Kind: classifier.Empty}
	}
	return classifier.Statement{Kind: classifier.Unparsed}
}

func (t *Translator) sendDescribe(m *pgproto3.Describe) {
	describe := *m
	if m.ObjectType == 'S' {
		describe.Name = t.serverStatementName(m.Name)
	}
	t.send(expectation{kind: 'D'}, &describe)
}

func (t *Translator) sendClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		// Other callers may use the server-side statement, so it stays.
		setEntry(&t.prepared, m.Name, nil)
		t.synthesize(&pgproto3.CloseComplete{}, func() { t.record(m.Name, nil) })
		return
	}
	t.send(expectation{kind: 'C'}, m)
}
