package relayer

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// exchange is the run of one batch on one server connection.
type exchange struct {
	s    *Session
	conn pooler.Conn
	b    *batch
	p    *planner.Plan
	// replica is the choice behind a replica read, nil on the primary.
	replica *replicaRead
	// streams is set when the answer may be passed on before it is confirmed.
	streams bool

	queue []expectation
	// index counts the completed statements of a simple query.
	index int
	// named are the statements that the batch itself prepares, ensured those
	// that are prepared on this connection for it.
	named   map[string]*preparer.Statement
	ensured map[string]bool
	changes []statementChange
	// unnamed is set when the batch parsed the unnamed statement itself.
	unnamed bool
	// skipping is set after an error until Sync.
	skipping bool

	lower     tracker.Position
	evidence  resolver.Evidence
	committed bool // a COMMIT took effect
	err       *pgproto3.ErrorResponse
	keyClash  string // request key that already exists
	status    byte
	row       *tracker.Status
	// sealed is set when the buffered output holds a tag that must not be
	// passed on before the confirmation.
	sealed bool
	// sent is set when a part of the answer was passed on.
	sent bool
	// stale is set when the connection must not be used again.
	stale bool
	// pinned is set while the proxy runs statements of its own on a pinned
	// connection.
	pinned bool
	// goneAt is when the vanished caller was noticed.
	goneAt time.Time
	// foreign counts successive checks that saw another primary.
	foreign int
}

// lostError means that the server connection failed or was given up.
type lostError struct{ err error }

func (e *lostError) Error() string { return "server connection lost: " + e.err.Error() }
func (e *lostError) Unwrap() error { return e.err }

func lost(format string, args ...any) error { return &lostError{fmt.Errorf(format, args...)} }

// checkInterval is how often a wait for a server looks at the group's view and
// at the caller.
const checkInterval = 100 * time.Millisecond

// goneWait is the time for which a server may take to answer after the cancel
// request for a vanished caller.
const goneWait = 5 * time.Second

func (s *Session) newExchange(conn pooler.Conn, b *batch, p *planner.Plan) *exchange {
	x := &exchange{s: s, conn: conn, b: b, p: p, lower: s.group.reached()}
	_ = conn.SetReadDeadline(time.Now().Add(checkInterval))
	if s.held.tx.active {
		x.evidence, x.stale = s.held.tx.evidence, s.held.stale
	}
	if p.RunsProcedure {
		x.evidence = resolver.Unproved
	}
	x.streams = p.LeavesTransactionOpen || (s.held.tx.active && !p.MayCommit)
	return x
}

// pipelinesStatus reports whether the status query is sent behind the batch
// without waiting for its answer. Inside a transaction it is not sent, since
// it would be the transaction's first query.
func (x *exchange) pipelinesStatus() bool {
	return x.replica == nil && !x.p.LeavesTransactionOpen && (x.p.MayCommit || x.p.ReturnsData)
}

// receive returns the next message of the server. It gives up when the server
// is no longer the primary, or when it ignores the cancel request for a
// vanished caller.
func (x *exchange) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := x.conn.Receive()
		if err == nil {
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, lost("connection to backend server %s was lost", x.conn.Server())
		}
		if err := x.check(); err != nil {
			return nil, err
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(checkInterval))
	}
}

// check decides whether to go on waiting.
func (x *exchange) check() error {
	select {
	case <-x.s.gone:
		if x.goneAt.IsZero() {
			x.goneAt = time.Now()
		}
		if time.Since(x.goneAt) > goneWait {
			return lost("caller vanished and backend server %s did not stop", x.conn.Server())
		}
	default:
	}
	if x.replica != nil {
		return x.replica.check(x)
	}
	v, ok := x.s.r.parts.Views.View(x.s.name)
	if !ok || v.Term == 0 || v.Primary == "" || v.Primary == x.conn.Server() {
		x.foreign = 0
		return nil
	}
	x.foreign++
	if x.foreign < 2 {
		return nil
	}
	return lost("backend server %s was replaced as primary", x.conn.Server())
}

// run sends the batch and reads its answer up to ReadyForQuery.
func (x *exchange) run() error {
	x.s.setRunning(x.conn)
	defer x.s.setRunning(nil)
	if err := x.sendBatch(); err != nil {
		return err
	}
	if x.b.flushed {
		return nil
	}
	return x.finish()
}

// finish reads up to ReadyForQuery, and the status row if one was asked for.
func (x *exchange) finish() error {
	if err := x.receiveUntil(func() bool { return x.status != 0 }); err != nil {
		return err
	}
	if !x.pipelinesStatus() {
		return nil
	}
	if x.status != 'I' {
		_, err := x.readStatus() // a failed transaction answers it with an error
		return err
	}
	return x.receiveStatus()
}

// receiveUntil handles messages until done reports true.
func (x *exchange) receiveUntil(done func() bool) error {
	if x.replica != nil && !x.replica.proven {
		if err := x.prove(); err != nil {
			return err
		}
	}
	for {
		x.answerSynthetic()
		if done() {
			return nil
		}
		msg, err := x.receive()
		if err != nil {
			return err
		}
		if err := x.handle(msg); err != nil {
			return err
		}
	}
}

// spill passes on buffered output as far as that is allowed.
func (x *exchange) spill() error {
	limit := flushSize
	if !x.streams && !x.sent {
		limit = x.s.r.cfg.HoldLimit
	}
	if len(x.s.out) < limit {
		return nil
	}
	if x.sealed {
		if len(x.s.out) > x.s.r.cfg.BatchLimit {
			return lost("answer behind a commit is too large to be withheld")
		}
		return nil
	}
	x.sent = true
	if err := x.s.flush(); err != nil {
		return x.callerLost()
	}
	return nil
}

// callerLost follows up a failed write to the caller: the statement is
// cancelled and its remaining output is dropped.
func (x *exchange) callerLost() error {
	return lost("caller does not accept data")
}

// mayHaveCommitted reports whether something of the batch may be committed,
// as far as the answers read so far tell.
func (x *exchange) mayHaveCommitted() bool {
	if x.committed || x.p.RunsProcedure {
		return true
	}
	return x.p.MayCommit && x.err == nil
}

// needsConfirmation reports whether the complete answer must be confirmed.
func (x *exchange) needsConfirmation() bool {
	if x.committed || x.p.RunsProcedure {
		return true
	}
	return x.err == nil && (x.p.ImplicitWrite || x.p.ReturnsData)
}

// current returns the statement that the server works on.
func (x *exchange) current() (classifier.Statement, bool) {
	if x.b.query == nil {
		if len(x.queue) == 0 {
			return classifier.Statement{}, false
		}
		return x.queue[0].statement, true
	}
	if x.index < len(x.p.Executed) {
		return x.p.Executed[x.index], true
	}
	return classifier.Statement{}, false
}
