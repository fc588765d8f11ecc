package translator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/translator"
)

// conn records the messages that are sent and the statements that exist on it.
type conn struct {
	pooler.Conn
	sent       []string
	statements map[string]bool
}

func (c *conn) HasStatement(name string) bool { return c.statements[name] }
func (c *conn) AddStatement(name string)      { c.statements[name] = true }

func (c *conn) Send(msgs ...pgproto3.FrontendMessage) {
	for _, m := range msgs {
		switch m := m.(type) {
		case *pgproto3.Parse:
			c.sent = append(c.sent, "Parse "+kindOf(m.Name))
		case *pgproto3.Bind:
			c.sent = append(c.sent, "Bind "+kindOf(m.PreparedStatement))
		case *pgproto3.Describe:
			c.sent = append(c.sent, "Describe "+kindOf(m.Name))
		default:
			c.sent = append(c.sent, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
}

// kindOf returns the name of a statement, or whether it is the unnamed one or one of the proxy.
func kindOf(name string) string {
	switch {
	case name == "":
		return "unnamed"
	case strings.HasPrefix(name, "marigold_"):
		return "server's"
	}
	return name
}

// serve answers what was sent as a server does and returns the responses of the caller.
func serve(t *testing.T, tr *translator.Translator, c *conn) string {
	t.Helper()
	var got []string
	synthetic := func() {
		for m := tr.TakeSynthetic(); m != nil; m = tr.TakeSynthetic() {
			got = append(got, strings.TrimPrefix(fmt.Sprintf("own %T", m), "own *pgproto3."))
		}
	}
	for _, sent := range c.sent {
		synthetic()
		var m pgproto3.BackendMessage
		switch strings.Fields(sent)[0] {
		case "Parse":
			m = &pgproto3.ParseComplete{}
		case "Bind":
			m = &pgproto3.BindComplete{}
		case "Close":
			m = &pgproto3.CloseComplete{}
		case "Describe":
			tr.TakeDescription()
			got = append(got, "NoData")
			continue
		case "Execute":
			st, ok := tr.Current()
			if !ok || !tr.TakeExecution() {
				t.Error("an execution was not expected")
			}
			got = append(got, "executed "+fmt.Sprint(st.Kind == classifier.Write))
			continue
		}
		hidden, ok := tr.TakeCompletion(m)
		if !ok {
			t.Errorf("%T was not expected", m)
		}
		if !hidden {
			got = append(got, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
	synthetic()
	if tr.Pending() != 0 {
		t.Errorf("%d responses are still expected", tr.Pending())
	}
	return strings.Join(got, ", ")
}

// Guards against responses that are lost, added or out of order, against statements that are
// prepared twice or not at all on a connection, and against changes to the caller's statements
// before the answer is final.
func TestTranslate(t *testing.T) {
	const insert = "insert into kv values ('x', '1')"
	type messages = []pgproto3.FrontendMessage
	execute := &pgproto3.Execute{}
	cases := []struct {
		name string
		// known are the caller's statements before, onConn is set if the connection has them.
		known  []string
		onConn bool
		msgs   messages
		// sent is what the server gets, want what the caller gets, after the caller's statements
		// afterwards.
		sent, want, after string
	}{
		{"unnamed", nil, false, messages{&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, execute}, "Parse unnamed, Bind unnamed, Execute", "ParseComplete, BindComplete, executed true", ""},
		{"named", nil, false, messages{&pgproto3.Parse{Name: "s", Query: insert}, &pgproto3.Bind{PreparedStatement: "s"}, execute}, "Parse server's, Bind server's, Execute", "ParseComplete, BindComplete, executed true", "s"},
		{"named, known on the connection", []string{"r"}, true, messages{&pgproto3.Parse{Name: "s", Query: insert}, &pgproto3.Bind{PreparedStatement: "s"}, execute}, "Bind server's, Execute", "ParseComplete, BindComplete, executed true", "r s"},
		{"of an earlier batch on another connection", []string{"s"}, false, messages{&pgproto3.Bind{PreparedStatement: "s"}, execute}, "Parse server's, Bind server's, Execute", "BindComplete, executed true", "s"},
		{"used twice", []string{"s"}, false, messages{&pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Bind{PreparedStatement: "s"}, execute}, "Parse server's, Describe server's, Bind server's, Execute", "NoData, BindComplete, executed true", "s"},
		{"unnamed of an earlier batch", []string{""}, false, messages{&pgproto3.Bind{}, execute}, "Parse unnamed, Bind unnamed, Execute", "BindComplete, executed true", ""},
		{"closed", []string{"s"}, true, messages{&pgproto3.Close{ObjectType: 'S', Name: "s"}}, "", "CloseComplete", ""},
		{"closed and used", []string{"s"}, true, messages{&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Bind{PreparedStatement: "s"}}, "Bind s", "CloseComplete, BindComplete", ""},
		{"closed and prepared again", []string{"s"}, true, messages{&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Parse{Name: "s", Query: insert}}, "", "CloseComplete, ParseComplete", "s"},
		{"unknown name of the proxy", nil, false, messages{&pgproto3.Bind{PreparedStatement: "marigold_x"}}, "Bind unknown marigold_x", "BindComplete", ""},
		{"closed portal", nil, false, messages{&pgproto3.Close{ObjectType: 'P', Name: "p"}}, "Close", "CloseComplete", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			parser := translator.Parser{Classifier: classifier.New(classifier.Config{}), Keys: rewriter.Keys("web")}
			var statements preparer.Set
			conn := &conn{statements: make(map[string]bool)}
			for _, name := range c.known {
				st := parser.Statement(&pgproto3.Parse{Name: name, Query: insert})
				_ = statements.Put(name, st)
				if c.onConn {
					conn.AddStatement(st.ServerName)
				}
			}
			tr := translator.New(translator.Config{Conn: conn, Statements: &statements, Portals: &retainer.Portals{}, Parser: parser})
			for _, m := range c.msgs {
				tr.Translate(m)
			}
			if got := strings.Join(conn.sent, ", "); got != c.sent {
				t.Errorf("sent %s, want %s", got, c.sent)
			}
			before := names(&statements)
			if got := serve(t, tr, conn); got != c.want {
				t.Errorf("answered %s, want %s", got, c.want)
			}
			if got := names(&statements); got != before {
				t.Errorf("the caller's statements are %q before the answer is final, want %q", got, before)
			}
			if dropped := tr.Apply(); dropped != 0 {
				t.Errorf("%d statements were dropped", dropped)
			}
			if got := names(&statements); got != c.after {
				t.Errorf("the caller's statements are %q, want %q", got, c.after)
			}
		})
	}
}

// names returns which of the names r and s are prepared.
func names(s *preparer.Set) string {
	var list []string
	for _, name := range []string{"r", "s"} {
		if _, ok := s.Get(name); ok {
			list = append(list, name)
		}
	}
	return strings.Join(list, " ")
}

// Guards against responses out of order that are taken for those of other messages, and against
// statements that are kept after an error.
func TestUnexpectedResponses(t *testing.T) {
	parser := translator.Parser{Classifier: classifier.New(classifier.Config{}), Keys: rewriter.Keys("web")}
	var statements preparer.Set
	conn := &conn{statements: make(map[string]bool)}
	tr := translator.New(translator.Config{Conn: conn, Statements: &statements, Portals: &retainer.Portals{}, Parser: parser})
	if _, ok := tr.Current(); ok || tr.TakeExecution() {
		t.Error("an execution is expected before anything is sent")
	}
	if _, ok := tr.TakeCompletion(&pgproto3.ParseComplete{}); ok {
		t.Error("a response is expected before anything is sent")
	}
	tr.Translate(&pgproto3.Parse{Name: "s", Query: "select 1"})
	if _, ok := tr.TakeCompletion(&pgproto3.BindComplete{}); ok || tr.TakeExecution() {
		t.Error("a response to another message was taken")
	}
	tr.Fail()
	if tr.Pending() != 0 || tr.Apply() != 0 || names(&statements) != "" || len(conn.statements) != 0 {
		t.Errorf("after an error: %d expected, statements %q, on the connection %v", tr.Pending(), names(&statements), conn.statements)
	}
}
