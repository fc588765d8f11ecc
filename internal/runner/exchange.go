package runner

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
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/internal/translator"
)

// Exchange is the run of one batch on one server connection.
type Exchange struct {
	cfg *Config
	// Conn is the server connection on which Batch runs, whose plan is Plan.
	Conn  pooler.Conn
	Batch *batcher.Batch
	Plan  *planner.Plan
	// Result is what the answers have shown so far.
	Result
	// LowerBound is a position that the primary had reached before the batch.
	LowerBound tracker.Position

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
	// withhold is set when the buffered output contains a command tag that must
	// not be passed on before the confirmation.
	withhold bool
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

// LostError means that the server connection failed or was abandoned.
type LostError struct{ err error }

// Error implements error.
func (e *LostError) Error() string { return "server connection lost: " + e.err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.err }

// Lost returns a [LostError].
func Lost(format string, args ...any) error { return &LostError{fmt.Errorf(format, args...)} }

// checkInterval is how often a wait for a server checks the group's view and
// the caller's connection.
const checkInterval = 100 * time.Millisecond

// disconnectTimeout is the time that a server has to answer after the cancel
// request for a disconnected caller.
const disconnectTimeout = 5 * time.Second

// New returns an exchange of a batch on the primary, or on the retained connection.
func (r *Runner) New(conn pooler.Conn, b *batcher.Batch, p *planner.Plan) *Exchange {
	x := &Exchange{cfg: &r.cfg, Conn: conn, Batch: b, Plan: p, LowerBound: r.cfg.Certifier.KnownPosition(), undoCharge: func() {}}
	x.messages = translator.New(translator.Config{Conn: conn, Statements: r.cfg.Statements, Portals: &r.cfg.Retainer.Portals, Parser: r.cfg.Parser})
	_ = conn.SetReadDeadline(time.Now().Add(checkInterval))
	tx := r.cfg.Retainer.Transaction()
	if tx.IsOpen {
		x.Evidence, x.MustDiscard = tx.Evidence, tx.MustDiscard
	}
	if p.CommitsItself {
		x.Evidence = resolver.Unproved
	}
	x.mayStream = p.LeavesTransactionOpen || (tx.IsOpen && !p.MayCommit)
	return x
}

// Continue prepares the run of the next batch of an exchange that awaits Sync.
func (x *Exchange) Continue(b *batcher.Batch, p *planner.Plan) {
	x.Plan.Merge(p)
	x.Batch = b
	x.mayStream = true
}

// pipelinesStatus reports whether the status query is sent directly after the
// batch, without waiting for the answer. A batch that begins a transaction is
// not followed by one, because it would be the transaction's first query.
func (x *Exchange) pipelinesStatus() bool {
	return x.replica == nil && !x.Plan.LeavesTransactionOpen && (x.Plan.MayCommit || x.Plan.ReturnsData)
}

// receive returns the next message of the server. It gives up when another
// server has become the primary, or when the server does not react to the
// cancel request for a disconnected caller.
func (x *Exchange) receive() (pgproto3.BackendMessage, error) {
	for {
		msg, err := x.Conn.Receive()
		if err == nil {
			return msg, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, Lost("connection to backend server %s was lost", x.Conn.Server())
		}
		if err := x.checkWait(); err != nil {
			return nil, err
		}
		_ = x.Conn.SetReadDeadline(time.Now().Add(checkInterval))
	}
}

// checkWait returns an error if it is useless to wait longer for the server.
func (x *Exchange) checkWait() error {
	select {
	case <-x.cfg.Disconnected:
		if x.disconnectSeenAt.IsZero() {
			x.disconnectSeenAt = time.Now()
			// The caller may have left before the statement was sent. The cancel request at
			// that time had nothing to cancel.
			x.cfg.Acquirer.CancelRunning()
		}
		if time.Since(x.disconnectSeenAt) > disconnectTimeout {
			return Lost("caller has disconnected and backend server %s did not stop", x.Conn.Server())
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
	v, ok := x.cfg.Views.View(x.cfg.Group)
	if !ok || v.Term == 0 || v.Primary == "" || v.Primary == x.Conn.Server() {
		x.otherPrimaryChecks = 0
		return nil
	}
	x.otherPrimaryChecks++
	if x.otherPrimaryChecks < 2 {
		return nil
	}
	return Lost("backend server %s was replaced as primary", x.Conn.Server())
}

// Run sends the batch and reads its answer up to ReadyForQuery.
func (x *Exchange) Run() error {
	x.cfg.Acquirer.SetRunning(x.Conn)
	defer x.cfg.Acquirer.SetRunning(nil)
	x.undoCharge = x.cfg.Charger.MarkSent()
	x.cfg.Retainer.SetExchanging(true)
	err := x.sendBatch()
	if err == nil && !x.Batch.Flushed {
		err = x.finish()
	}
	x.cfg.Retainer.SetExchanging(false) // not deferred, so that it stays set after a panic
	return err
}

// finish reads up to ReadyForQuery, and the status row if one was asked for.
func (x *Exchange) finish() error {
	if err := x.receiveUntil(func() bool { return x.Status != 0 }); err != nil {
		return err
	}
	if !x.pipelinesStatus() {
		return nil
	}
	if x.Status != 'I' {
		_, err := x.readStatus() // inside a failed transaction the answer is an error
		return err
	}
	return x.receiveStatus()
}

// receiveUntil handles messages until done reports true.
func (x *Exchange) receiveUntil(done func() bool) error {
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

// RecordRefusal records that the server refused the batch without running any of it. A batch
// of several statements may have run some of them before.
func (x *Exchange) RecordRefusal() {
	if len(x.Plan.Executed) <= 1 {
		x.undoCharge()
	}
}

// current returns the statement that the server is executing.
func (x *Exchange) current() (classifier.Statement, bool) {
	if x.Batch.Query == nil {
		return x.messages.Current()
	}
	if x.statementIndex < len(x.Plan.Executed) {
		return x.Plan.Executed[x.statementIndex], true
	}
	return classifier.Statement{}, false
}

// ApplyStatements stores the statements that the batch prepared.
func (x *Exchange) ApplyStatements() {
	for range x.messages.Apply() {
		x.cfg.Log.WithField("caller", x.cfg.Caller).Warn("relayer: prepared statement dropped, too many in one session")
	}
}
