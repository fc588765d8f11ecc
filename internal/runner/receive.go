package runner

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
)

// answerSynthetic sends the proxy's own responses that are next in order.
func (x *Exchange) answerSynthetic() {
	for m := x.messages.TakeSynthetic(); m != nil; m = x.messages.TakeSynthetic() {
		x.cfg.Output.Send(m)
	}
}

// handle processes one message of the server.
func (x *Exchange) handle(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		x.cfg.Output.Send(m)
		return x.streamOutput()
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete:
		return x.handleComplete(m)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		x.cfg.Output.Send(m)
		if x.Batch.Query == nil {
			x.messages.TakeDescription()
		}
		return nil
	case *pgproto3.CommandComplete:
		return x.handleTag(m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		x.cfg.Output.Send(m)
		return x.completeExecution()
	case *pgproto3.ErrorResponse:
		return x.handleError(m)
	case *pgproto3.ReadyForQuery:
		x.Status = m.TxStatus
		if n := x.messages.Pending(); n > 0 {
			return Lost("backend server %s omitted %d responses", x.Conn.Server(), n)
		}
		return nil
	case *pgproto3.ParameterDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		x.cfg.Output.Send(m)
		return x.streamOutput()
	}
	return Lost("unexpected message %T from backend server %s", msg, x.Conn.Server())
}

// handleComplete processes a response without content.
func (x *Exchange) handleComplete(m pgproto3.BackendMessage) error {
	hidden, ok := x.messages.TakeCompletion(m)
	if !ok {
		return Lost("unexpected message %T from backend server %s", m, x.Conn.Server())
	}
	if !hidden {
		x.cfg.Output.Send(m)
	}
	return nil
}

// completeExecution records the end of a statement.
func (x *Exchange) completeExecution() error {
	if x.Batch.Query != nil {
		x.statementIndex++
		return nil
	}
	if !x.messages.TakeExecution() {
		return Lost("unexpected end of a statement from backend server %s", x.Conn.Server())
	}
	return nil
}

func (x *Exchange) handleTag(m *pgproto3.CommandComplete) error {
	st, known := x.current()
	tag := string(m.CommandTag)
	// A statement that the parser does not know may leave session state on
	// the connection.
	x.MustDiscard = x.MustDiscard || !known || st.Kind == classifier.Unparsed
	if tag == "COMMIT" {
		x.Committed = true
	}
	x.Evidence = x.Evidence.With(st.Kind, tag)
	if rewriter.SetsKey(st) {
		tag = "SET"
	}
	x.withhold = x.withhold || (x.Plan.MayCommit && !x.mayStream)
	x.cfg.Output.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	if err := x.streamOutput(); err != nil {
		return err
	}
	return x.completeExecution()
}

// handleError takes in an error. It counts as the error of the batch, which proves that a batch
// outside an explicit transaction was rolled back, unless it ends the connection after the last
// statement, or with a crash of the server: the commit may be in the log then.
func (x *Exchange) handleError(m *pgproto3.ErrorResponse) error {
	e := *m
	st, known := x.current()
	if x.Err == nil && (known && !isPanic(&e) || !resolver.IsFatal(&e)) {
		x.Err = &e
	}
	x.messages.Fail()
	x.skipping = x.Batch.Query == nil
	x.checkStatementError(&e)
	if known && rewriter.SetsKey(st) && e.Code == resolver.CodeUniqueViolation {
		x.KeyConflict = st.Value
		return nil
	}
	if resolver.IsFatal(&e) {
		return Lost("backend server %s: %s (%s)", x.Conn.Server(), e.Message, e.Code)
	}
	x.cfg.Output.Send(&e)
	return nil
}

// checkStatementError marks the connection for discarding if the error shows
// that its prepared statements differ from what the proxy assumes.
func (x *Exchange) checkStatementError(e *pgproto3.ErrorResponse) {
	cachedPlan := e.Code == resolver.CodeNotSupported && strings.Contains(e.Message, "cached plan")
	if cachedPlan || (e.Code == resolver.CodeUnknownStatement && preparer.MentionsServerName(e.Message)) {
		x.MustDiscard = true
	}
}

// isPanic reports whether the server crashes with this error.
func isPanic(e *pgproto3.ErrorResponse) bool {
	return e.SeverityUnlocalized == "PANIC" || e.SeverityUnlocalized == "" && e.Severity == "PANIC"
}
