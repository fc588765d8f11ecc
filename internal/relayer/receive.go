package relayer

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
)

// answerSynthetic sends the proxy's own responses that are next in order.
func (x *exchange) answerSynthetic() {
	for m := x.messages.TakeSynthetic(); m != nil; m = x.messages.TakeSynthetic() {
		x.s.out.Send(m)
	}
}

// handle processes one message of the server.
func (x *exchange) handle(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		x.s.out.Send(m)
		return x.streamOutput()
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
		return x.handleComplete(m)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		x.s.out.Send(m)
		if x.batch.Query == nil {
			x.messages.TakeDescription()
		}
		return nil
	case *pgproto3.CommandComplete:
		return x.handleTag(m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.s.out.Send(m)
		return x.completeExecution()
	case *pgproto3.ErrorResponse:
		return x.handleError(m)
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		if n := x.messages.Pending(); n > 0 {
			return connLost("backend server %s omitted %d responses", x.conn.Server(), n)
		}
		return nil
	case *pgproto3.ParameterDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		x.s.out.Send(m)
		return x.streamOutput()
	}
	return connLost("unexpected message %T from backend server %s", msg, x.conn.Server())
}

// handleComplete processes a response without content.
func (x *exchange) handleComplete(m pgproto3.BackendMessage) error {
	hidden, ok := x.messages.TakeCompletion(m)
	if !ok {
		return connLost("unexpected message %T from backend server %s", m, x.conn.Server())
	}
	if !hidden {
		x.s.out.Send(m)
	}
	return nil
}

// completeExecution records the end of a statement.
func (x *exchange) completeExecution() error {
	if x.batch.Query != nil {
		x.statementIndex++
		return nil
	}
	if !x.messages.TakeExecution() {
		return connLost("unexpected end of a statement from backend server %s", x.conn.Server())
	}
	return nil
}

func (x *exchange) handleTag(m *pgproto3.CommandComplete) error {
	st, known := x.current()
	tag := string(m.CommandTag)
	// A statement that the parser does not know may leave session state on
	// the connection.
	x.mustDiscard = x.mustDiscard || !known || st.Kind == classifier.Unparsed
	if tag == "COMMIT" {
		x.committed = true
	}
	x.evidence = x.evidence.With(st.Kind, tag)
	if rewriter.SetsKey(st) {
		tag = "SET"
	}
	x.withhold = x.withhold || (x.plan.MayCommit && !x.mayStream)
	x.s.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	if err := x.streamOutput(); err != nil {
		return err
	}
	return x.completeExecution()
}

func (x *exchange) handleError(m *pgproto3.ErrorResponse) error {
	e := *m
	st, known := x.current()
	if x.err == nil {
		x.err = &e
	}
	x.messages.Fail()
	x.skipping = x.batch.Query == nil
	x.checkStatementError(&e)
	if known && rewriter.SetsKey(st) && e.Code == resolver.CodeUniqueViolation {
		x.keyConflict = st.Value
		return nil
	}
	if resolver.IsFatal(&e) {
		return connLost("backend server %s: %s (%s)", x.conn.Server(), e.Message, e.Code)
	}
	x.s.out.Send(&e)
	return nil
}

// checkStatementError marks the connection for discarding if the error shows
// that its prepared statements differ from what the proxy assumes.
func (x *exchange) checkStatementError(e *pgproto3.ErrorResponse) {
	cachedPlan := e.Code == resolver.CodeNotSupported && strings.Contains(e.Message, "cached plan")
	if cachedPlan || (e.Code == resolver.CodeUnknownStatement && preparer.MentionsServerName(e.Message)) {
		x.mustDiscard = true
	}
}
