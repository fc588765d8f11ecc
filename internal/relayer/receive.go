package relayer

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
)

// answerSynthetic makes the answers whose turn has come.
func (x *exchange) answerSynthetic() {
	for len(x.queue) > 0 && x.queue[0].synthetic != nil {
		e := x.pop()
		if e.onSuccess != nil {
			e.onSuccess()
		}
		x.s.send(e.synthetic)
	}
}

func (x *exchange) pop() expectation {
	e := x.queue[0]
	x.queue = x.queue[1:]
	return e
}

// handle takes in one message of the server.
func (x *exchange) handle(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		x.s.send(m)
		return x.spill()
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
		return x.handleComplete(m)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		x.s.send(m)
		if x.b.query == nil && len(x.queue) > 0 && x.queue[0].kind == 'D' {
			x.pop()
		}
		return nil
	case *pgproto3.CommandComplete:
		return x.handleTag(m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.s.send(m)
		return x.completeExecution()
	case *pgproto3.ErrorResponse:
		return x.handleError(m)
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		if len(x.queue) > 0 {
			return lost("backend server %s left %d responses out", x.conn.Server(), len(x.queue))
		}
		return nil
	case *pgproto3.ParameterDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		x.s.send(m)
		return nil
	}
	return lost("unexpected message %T from backend server %s", msg, x.conn.Server())
}

// handleComplete takes in a response without content.
func (x *exchange) handleComplete(m pgproto3.BackendMessage) error {
	if len(x.queue) == 0 || x.queue[0].kind != completes(m) {
		return lost("unexpected message %T from backend server %s", m, x.conn.Server())
	}
	e := x.pop()
	if e.onSuccess != nil {
		e.onSuccess()
	}
	if !e.hidden {
		x.s.send(m)
	}
	return nil
}

func completes(m pgproto3.BackendMessage) byte {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return 'P'
	case *pgproto3.BindComplete:
		return 'B'
	}
	return 'C'
}

// completeExecution counts the end of a statement.
func (x *exchange) completeExecution() error {
	if x.b.query != nil {
		x.index++
		return nil
	}
	if len(x.queue) == 0 || x.queue[0].kind != 'E' {
		return lost("unexpected end of a statement from backend server %s", x.conn.Server())
	}
	x.pop()
	return nil
}

func (x *exchange) handleTag(m *pgproto3.CommandComplete) error {
	st, known := x.current()
	tag := string(m.CommandTag)
	// What the parser does not know may leave state in the connection.
	x.stale = x.stale || !known || st.Kind == classifier.Unparsed
	if tag == "COMMIT" {
		x.committed = true
	}
	x.evidence = x.evidence.With(st.Kind, tag)
	if keepsKey(st) {
		tag = "SET"
	}
	x.sealed = x.sealed || (x.p.MayCommit && !x.streams)
	x.s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return x.completeExecution()
}

func (x *exchange) handleError(m *pgproto3.ErrorResponse) error {
	e := *m
	st, known := x.current()
	if x.err == nil {
		x.err = &e
	}
	x.queue = nil
	x.skipping = x.b.query == nil
	x.noteStatementError(&e)
	if known && keepsKey(st) && e.Code == resolver.CodeUniqueViolation {
		x.keyClash = st.Value
		return nil
	}
	if resolver.IsFatal(&e) {
		return lost("backend server %s: %s (%s)", x.conn.Server(), e.Message, e.Code)
	}
	x.s.send(&e)
	return nil
}

// noteStatementError marks a connection whose prepared statements are not what
// the proxy takes them for.
func (x *exchange) noteStatementError(e *pgproto3.ErrorResponse) {
	cachedPlan := e.Code == resolver.CodeNotSupported && strings.Contains(e.Message, "cached plan")
	if cachedPlan || (e.Code == resolver.CodeUnknownStatement && preparer.MentionsServerName(e.Message)) {
		x.stale = true
	}
}
