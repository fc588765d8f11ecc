package replier_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/replier"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/translator"
)

type conn struct {
	pooler.Conn
	discarded int
}

func (c *conn) Discard() { c.discarded++ }

// session is a replier whose caller receives everything.
type session struct {
	*replier.Replier
	t          *testing.T
	out        *responder.Output
	conn       net.Conn
	received   chan []byte
	retainer   *retainer.Retainer
	statements preparer.Set
	parser     translator.Parser
}

func newSession(t *testing.T) *session {
	conn, caller := net.Pipe()
	s := &session{t: t, conn: conn, received: make(chan []byte, 1), parser: translator.Parser{Classifier: classifier.New(classifier.Config{})}}
	go func() {
		b, _ := io.ReadAll(caller)
		s.received <- b
	}()
	s.out = responder.New(responder.Config{Conn: conn, WriteWait: 5 * time.Second, HoldsServer: func() bool { return false }})
	s.retainer = retainer.New(retainer.Config{Pins: &retainer.Pins{}, Limit: 1, EndUse: func() {}})
	s.Replier = replier.New(replier.Config{
		Output: s.out, Retainer: s.retainer, Statements: &s.statements, Parser: s.parser,
		Outcome: func(key string) (string, *pgproto3.ErrorResponse) { return "done " + key, nil },
	})
	return s
}

// answers returns an abbreviation of what the caller has received, and the code of the failure.
func (s *session) answers(failure *pgproto3.ErrorResponse) string {
	s.t.Helper()
	if err := s.out.Flush(); err != nil {
		s.t.Fatal(err)
	}
	_ = s.conn.Close()
	fe := pgproto3.NewFrontend(bytes.NewReader(<-s.received), io.Discard)
	var got []string
	for {
		msg, err := fe.Receive()
		if err != nil {
			break
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			got = append(got, string(m.Values[0]))
		case *pgproto3.CommandComplete:
			got = append(got, "["+string(m.CommandTag)+"]")
		case *pgproto3.ParameterStatus:
			got = append(got, m.Name+"="+m.Value)
		case *pgproto3.RowDescription:
			got = append(got, "T "+string(m.Fields[0].Name))
		default:
			got = append(got, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
	if failure != nil {
		got = append(got, failure.Code)
	}
	return strings.Join(got, ", ")
}

// Guards against settings of the proxy and statements that are answered otherwise than by a
// server, and against state that DISCARD ALL leaves.
func TestReply(t *testing.T) {
	open, failed := retainer.Transaction{IsOpen: true}, retainer.Transaction{IsOpen: true, HasFailed: true}
	type messages = []pgproto3.FrontendMessage
	show := &pgproto3.Parse{Query: "show marigold.request_key"}
	cases := []struct {
		name string
		tx   retainer.Transaction
		// before is run first, then sql or msgs.
		before, sql string
		msgs        messages
		want        string
	}{
		{"set and show", retainer.Transaction{}, "set marigold.request_key = 'k'", "show marigold.request_key", nil, "[SET], T marigold.request_key, k, [SHOW]"},
		{"reset", retainer.Transaction{}, "set marigold.request_key = 'k'; reset marigold.request_key", "show marigold.request_key", nil, "[SET], [RESET], T marigold.request_key, , [SHOW]"},
		{"invalid key", retainer.Transaction{}, "", `set marigold.request_key = 'a\b'`, nil, "22023"},
		{"unknown setting", retainer.Transaction{}, "", "set marigold.other = 'x'", nil, "42704"},
		{"unknown setting shown", retainer.Transaction{}, "", "show marigold.other", nil, "42704"},
		{"outcome", retainer.Transaction{}, "set marigold.request_key = 'k'", "show marigold.request_outcome", nil, "[SET], T marigold.request_outcome, done k, [SHOW]"},
		{"outcome without a key", retainer.Transaction{}, "", "show marigold.request_outcome", nil, "22023"},
		{"outcome in a transaction", open, "set marigold.request_key = 'k'", "show marigold.request_outcome", nil, "[SET], 25001"},
		{"setting of all connections", retainer.Transaction{}, "", "set client_encoding = 'utf-8'", nil, "client_encoding=UTF8, [SET]"},
		{"deallocate", retainer.Transaction{}, "", "deallocate s", nil, "26000"},
		{"deallocate all", retainer.Transaction{}, "", "deallocate all", nil, "[DEALLOCATE ALL]"},
		{"discard all", retainer.Transaction{}, "set marigold.request_key = 'k'", "discard all; show marigold.request_key", nil, "[SET], [DISCARD ALL], T marigold.request_key, , [SHOW]"},
		{"discard all in a transaction", open, "", "discard all", nil, "25001"},
		{"in a failed transaction", failed, "", "show marigold.request_key", nil, "25P02"},
		{"answers before an error stay", retainer.Transaction{}, "", "set marigold.request_key = 'k'; set marigold.other = 'x'; deallocate all", nil, "[SET], 42704"},
		{"extended", retainer.Transaction{}, "set marigold.request_key = 'k'", "", messages{
			show, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'P'},
		}, "[SET], ParseComplete, ParameterDescription, T marigold.request_key, BindComplete, T marigold.request_key, k, [SHOW], CloseComplete"},
		{"empty statement", retainer.Transaction{}, "", "", messages{&pgproto3.Parse{}, &pgproto3.Bind{}, &pgproto3.Execute{}}, "ParseComplete, BindComplete, EmptyQueryResponse"},
		{"unknown statement", retainer.Transaction{}, "", "", messages{&pgproto3.Bind{PreparedStatement: "s"}}, "26000"},
		{"unknown portal", retainer.Transaction{}, "", "", messages{&pgproto3.Execute{Portal: "p"}}, "34000"},
		{"unknown portal described", retainer.Transaction{}, "", "", messages{&pgproto3.Describe{ObjectType: 'P', Name: "p"}}, "34000"},
		{"parameters", retainer.Transaction{}, "", "", messages{show, &pgproto3.Bind{Parameters: [][]byte{nil}}}, "ParseComplete, 08P01"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			if c.tx.IsOpen {
				s.retainer.KeepInTransaction(&conn{}, c.tx)
			}
			if c.before != "" {
				if failure := s.Reply(&batcher.Batch{Query: &pgproto3.Query{String: c.before}}); failure != nil {
					t.Fatal(failure.Message)
				}
			}
			b := &batcher.Batch{Messages: c.msgs}
			if c.sql != "" {
				b.Query = &pgproto3.Query{String: c.sql}
			}
			if got := s.answers(s.Reply(b)); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// Guards against a pinned connection, or a loss of one, that outlives DISCARD ALL, and against
// prepared statements that do.
func TestDiscardAll(t *testing.T) {
	s := newSession(t)
	pinned := &conn{}
	failure := s.retainer.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) { return pinned, nil }, resolver.Error("53300", "", ""))
	if failure != nil {
		t.Fatal(failure.Message)
	}
	_ = s.statements.Put("s", s.parser.Statement(&pgproto3.Parse{Name: "s", Query: "select 1"}))
	if got := s.answers(s.Reply(&batcher.Batch{Query: &pgproto3.Query{String: "discard all"}})); got != "[DISCARD ALL]" {
		t.Error(got)
	}
	if _, ok := s.statements.Get("s"); ok || pinned.discarded != 1 || s.retainer.IsPinned() || s.retainer.EndsOnError() {
		t.Errorf("statement left: %v; discarded %d times; pinned %v", ok, pinned.discarded, s.retainer.IsPinned())
	}
}

// Guards against Close messages that are not answered, or that leave their statement.
func TestClosed(t *testing.T) {
	s := newSession(t)
	_ = s.statements.Put("s", s.parser.Statement(&pgproto3.Parse{Name: "s", Query: "select 1"}))
	s.ReplyClosed(&batcher.Batch{Messages: []pgproto3.FrontendMessage{
		&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Close{ObjectType: 'P', Name: "p"},
	}})
	if got := s.answers(nil); got != "CloseComplete, CloseComplete" {
		t.Error(got)
	}
	if _, ok := s.statements.Get("s"); ok {
		t.Error("the statement is still there")
	}
}

// Guards against a caller that is not told that its lost transaction was rolled back.
func TestRollback(t *testing.T) {
	s := newSession(t)
	s.retainer.FailTransaction()
	if got := s.answers(s.ReplyRollback(&batcher.Batch{Query: &pgproto3.Query{String: "commit"}})); got != "[ROLLBACK]" {
		t.Error(got)
	}
}
