package relayer

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/internal/translator"
)

// exchange is the run of one batch on one server connection.
type exchange struct {
	s     *Session
	conn  pooler.Conn
	batch *batcher.Batch
	plan  *planner.Plan
	// replica is set for a read on a replica, nil on the primary.
	replica *replicaRead
	// mayStream is set when the answer may be passed on before it is confirmed.
	mayStream bool

	// messages translates those of the extended protocol.
	messages *translator.Translator
	// statementIndex counts the completed statements of a simple query.
	statementIndex int
	// skipping is set after an error until Sync.
	skipping bool

	// lowerBound is a position that the primary had reached before the batch.
	lowerBound tracker.Position
	// evidence is what the answers prove about the effect of the transaction.
	evidence    resolver.Evidence
	committed   bool                    // a COMMIT took effect
	err         *pgproto3.ErrorResponse // first error of the batch
	keyConflict string                  // request key that already exists
	status      byte                    // transaction status of ReadyForQuery, 0 before it
	statusRow   *tracker.Status
	// withhold is set when the buffered output contains a command tag that must
	// not be passed on before the confirmation.
	withhold bool
	// partlySent is set when a part of the answer was passed on.
	partlySent bool
	// mustDiscard is set when the connection must not be used again.
	mustDiscard bool
	// onPinnedConn is set while the proxy runs its own statements on a pinned
	// connection.
	onPinnedConn bool
	// disconnectSeenAt is when checkWait first saw that the caller has
	// disconnected.
	disconnectSeenAt time.Time
	// undoCharge takes back that a server may have run a part of the caller's operation.
	undoCharge func()
	// callerGoneAt is when a write to the caller failed; the rest of the answer, of which
	// droppedBytes were read since then, is dropped.
	callerGoneAt time.Time
	droppedBytes int
	// otherPrimaryChecks counts successive checks that saw another primary.
	otherPrimaryChecks int
}

// connLostError means that the server connection failed or was abandoned.
type connLostError struct{ err error }

func (e *connLostError) Error() string { return "server connection lost: " + e.err.Error() }
func (e *connLostError) Unwrap() error { return e.err }

func connLost(format string, args ...any) error { return &connLostError{fmt.Errorf(format, args...)} }

// checkInterval is how often a wait for a server checks the group's view and
// the caller's connection.
const checkInterval = 100 * time.Millisecond

// disconnectTimeout is the time that a server has to answer after the cancel
// request for a disconnected caller.
const disconnectTimeout = 5 * time.Second

func (s *Session) newExchange(conn pooler.Conn, b *batcher.Batch, p *planner.Plan) *exchange {
	x := &exchange{s: s, conn: conn, batch: b, plan: p, lowerBound: s.certifier.KnownPosition()}
	x.messages = translator.New(translator.Config{Conn: conn, Statements: &s.stmts, Portals: &s.retainer.Portals, Parser: s.parser})
	_ = conn.SetReadDeadline(time.Now().Add(checkInterval))
	tx := s.retainer.Transaction()
	if tx.IsOpen {
		x.evidence, x.mustDiscard = tx.Evidence, tx.MustDiscard
	}
	if p.RunsProcedure {
		x.evidence = resolver.Unproved
	}
	x.mayStream = p.LeavesTransactionOpen || (tx.IsOpen && !p.MayCommit)
	return x
}

// pipelinesStatus reports whether the status query is sent directly after the
// batch, without waiting for the answer. A batch that begins a transaction is
// not followed by one, because it would be the transaction's first query.
func (x *exchange) pipelinesStatus() bool {
	return x.replica == nil && !x.plan.LeavesTransactionOpen && (x.plan.MayCommit || x.plan.ReturnsData)
}

// receive returns the next message of the server. It gives up when another
// server has become the primary, or when the server does not react to the
// cancel request for a disconnected caller.
func (x *exchange) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := x.conn.Receive()
		if err == nil {
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, connLost("connection to backend server %s was lost", x.conn.Server())
		}
		if err := x.checkWait(); err != nil {
			return nil, err
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(checkInterval))
	}
}

// checkWait returns an error if it is useless to wait longer for the server.
func (x *exchange) checkWait() error {
	select {
	case <-x.s.reader.Disconnected():
		if x.disconnectSeenAt.IsZero() {
			x.disconnectSeenAt = time.Now()
			// The caller may have left before the statement was sent. The cancel request at
			// that time had nothing to cancel.
			x.s.acquirer.CancelRunning()
		}
		if time.Since(x.disconnectSeenAt) > disconnectTimeout {
			return connLost("caller has disconnected and backend server %s did not stop", x.conn.Server())
		}
	default:
	}
	if !x.callerGoneAt.IsZero() {
		if err := x.checkDrop(); err != nil {
			return err
		}
	}
	if x.replica != nil {
		return x.replica.checkWait(x)
	}
	v, ok := x.s.r.deps.Views.View(x.s.groupName)
	if !ok || v.Term == 0 || v.Primary == "" || v.Primary == x.conn.Server() {
		x.otherPrimaryChecks = 0
		return nil
	}
	x.otherPrimaryChecks++
	if x.otherPrimaryChecks < 2 {
		return nil
	}
	return connLost("backend server %s was replaced as primary", x.conn.Server())
}

// run sends the batch and reads its answer up to ReadyForQuery.
func (x *exchange) run() error {
	x.s.acquirer.SetRunning(x.conn)
	defer x.s.acquirer.SetRunning(nil)
	x.undoCharge = x.s.quota.Send()
	x.s.retainer.SetExchanging(true)
	err := x.sendBatch()
	if err == nil && !x.batch.Flushed {
		err = x.finish()
	}
	x.s.retainer.SetExchanging(false) // not deferred, so that it stays set after a panic
	return err
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
		_, err := x.readStatus() // inside a failed transaction the answer is an error
		return err
	}
	return x.receiveStatus()
}

// receiveUntil handles messages until done reports true.
func (x *exchange) receiveUntil(done func() bool) error {
	if x.replica != nil && !x.replica.verified {
		if err := x.verifyStatusRow(); err != nil {
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

// streamOutput passes on the buffered output once there is enough of it, unless
// it must be withheld.
func (x *exchange) streamOutput() error {
	if !x.callerGoneAt.IsZero() {
		return x.dropOutput()
	}
	if err := x.s.out.Reserve(); err != nil {
		return connLost("answer of backend server %s: %w", x.conn.Server(), err)
	}
	limit := responder.PieceBytes
	if !x.mayStream && !x.partlySent {
		limit = x.s.r.cfg.ResponseBufferLimit
	}
	if x.s.out.Len() < limit {
		return nil
	}
	if x.withhold {
		if x.s.out.Len() > x.s.r.cfg.BatchLimit {
			return connLost("answer after a commit is too large to be withheld")
		}
		return nil
	}
	x.partlySent = true
	if err := x.s.out.Flush(); err != nil {
		x.callerGoneAt = time.Now()
	}
	return nil
}

const (
	// maxDroppedBytes is how much of an answer is read on after its caller has gone, so
	// that the server connection can be used again. It takes about as long as opening
	// another one.
	maxDroppedBytes = 8 << 20
	// dropTimeout is how long that may take.
	dropTimeout = 500 * time.Millisecond
)

// dropOutput drops the buffered output of a caller that has gone. It fails when too much of
// the answer is left; the server connection is discarded then.
func (x *exchange) dropOutput() error {
	x.droppedBytes += x.s.out.Len()
	x.s.out.Drop()
	return x.checkDrop()
}

func (x *exchange) checkDrop() error {
	if x.droppedBytes > maxDroppedBytes || time.Since(x.callerGoneAt) > dropTimeout {
		return connLost("caller does not accept data")
	}
	return nil
}

// mayHaveCommitted reports whether a part of the batch may have committed,
// judging by the answers read so far.
func (x *exchange) mayHaveCommitted() bool {
	if x.committed || x.plan.RunsProcedure {
		return true
	}
	return x.plan.MayCommit && x.err == nil
}

// recordRefusal records that the server refused the batch without running any of it. A batch
// of several statements may have run some of them before.
func (x *exchange) recordRefusal() {
	if len(x.plan.Executed) <= 1 {
		x.undoCharge()
	}
}

// needsConfirmation reports whether the complete answer must be confirmed.
func (x *exchange) needsConfirmation() bool {
	if x.committed || x.plan.RunsProcedure {
		return true
	}
	return x.err == nil && (x.plan.ImplicitWrite || x.plan.ReturnsData)
}

// current returns the statement that the server is executing.
func (x *exchange) current() (classifier.Statement, bool) {
	if x.batch.Query == nil {
		return x.messages.Current()
	}
	if x.statementIndex < len(x.plan.Executed) {
		return x.plan.Executed[x.statementIndex], true
	}
	return classifier.Statement{}, false
}

// applyStatementChanges stores the statements that the batch prepared.
func (x *exchange) applyStatementChanges() {
	for range x.messages.Apply() {
		x.s.r.log.WithField("caller", x.s.caller.Name).Warn("relayer: prepared statement dropped, too many in one session")
	}
}
