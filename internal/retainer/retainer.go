package retainer

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
)

// Transaction is the state of an open transaction. The zero value stands for none.
type Transaction struct {
	IsOpen, HasFailed bool
	// Evidence is what the answers to its statements prove.
	Evidence resolver.Evidence
	// IsReadOnly is set when the caller asked for a read-only transaction.
	IsReadOnly bool
	// MustDiscard is set when the connection must be closed after the transaction.
	MustDiscard bool
}

// Config holds what a [Retainer] needs.
type Config struct {
	// Pins counts the pinned connections of the caller, who may have Limit of them.
	Pins   *Pins
	Caller string
	Limit  int
	// EndUse is called when the session no longer counts as in flight on the primary.
	EndUse func()
}

// Retainer keeps what one session retains. It is used by one goroutine.
type Retainer struct {
	cfg Config
	// Portals are those on the connection in use.
	Portals Portals

	conn   pooler.Conn
	pinned bool
	// pinReserved is set while a batch that pins its connection runs.
	pinReserved bool
	transaction Transaction
	awaitsSync  bool
	// transactionLost is set while the caller's transaction has failed and has no server
	// connection any more.
	transactionLost bool
	// pinLost is set when a pinned connection, and with it state of the
	// session, was lost. The next error ends the session.
	pinLost bool
	// exchanging is set while an exchange runs.
	exchanging bool
}

// New returns a retainer that keeps nothing.
func New(cfg Config) *Retainer { return &Retainer{cfg: cfg} }

// Conn returns the retained connection, nil if there is none.
func (r *Retainer) Conn() pooler.Conn { return r.conn }

// Transaction returns the open transaction.
func (r *Retainer) Transaction() Transaction { return r.transaction }

// InTransaction reports whether the caller is inside a transaction, which may have lost its
// connection.
func (r *Retainer) InTransaction() bool { return r.transaction.IsOpen || r.transactionLost }

// HasLostTransaction reports whether the caller's transaction has failed and has no server
// connection any more.
func (r *Retainer) HasLostTransaction() bool { return r.transactionLost }

// SetLostTransaction records that the caller's transaction has failed and has no server
// connection, or that the caller has ended it.
func (r *Retainer) SetLostTransaction(lost bool) { r.transactionLost = lost }

// AwaitsSync reports whether the last batch ended with Flush.
func (r *Retainer) AwaitsSync() bool { return r.awaitsSync }

// EndsOnError reports whether the next error ends the session, because state of it was lost.
func (r *Retainer) EndsOnError() bool { return r.pinLost }

// Status returns the transaction status for ReadyForQuery.
func (r *Retainer) Status() byte {
	switch {
	case r.transactionLost, r.transaction.HasFailed:
		return 'E'
	case r.transaction.IsOpen:
		return 'T'
	}
	return 'I'
}

// SetExchanging records that an exchange begins or ends. After a panic inside one it stays set:
// the answer on the server connection has not been read to its end.
func (r *Retainer) SetExchanging(exchanging bool) { r.exchanging = exchanging }

// KeepUntilSync retains a connection whose batch ended with Flush.
func (r *Retainer) KeepUntilSync(conn pooler.Conn) { r.conn, r.awaitsSync = conn, true }

// KeepInTransaction retains a connection inside a transaction.
func (r *Retainer) KeepInTransaction(conn pooler.Conn, tx Transaction) {
	r.conn, r.awaitsSync, r.transaction = conn, false, tx
}

// Keep retains a connection that is pinned, after the proxy's own statements ran on it.
func (r *Retainer) Keep(conn pooler.Conn) { r.conn = conn }

// EndTransaction forgets the transaction and the connection on which it ran, which is in use
// for the proxy's own statements. The session stays pinned.
func (r *Retainer) EndTransaction() {
	r.conn, r.awaitsSync, r.transaction = nil, false, Transaction{}
	r.Portals.Clear()
}

// Finish ends the use of a connection outside a transaction. A pinned one is retained, others
// are given back. The session still counts as in flight on the primary.
func (r *Retainer) Finish(conn pooler.Conn, mustDiscard bool) {
	if r.IsPinned() {
		r.conn = conn
		r.awaitsSync, r.transaction = false, Transaction{}
		r.Portals.Clear()
		return
	}
	r.conn = conn
	if mustDiscard {
		conn.Discard()
	} else {
		conn.Release()
	}
	r.clear()
}

// Lose discards a connection that failed in the session's use.
func (r *Retainer) Lose(conn pooler.Conn) {
	r.conn = conn
	r.Discard()
}

// Discard discards the server connection that the session retains, if any.
func (r *Retainer) Discard() {
	if r.conn == nil {
		return
	}
	r.pinLost = r.pinLost || r.pinned
	defer r.cfg.EndUse()
	defer r.clear() // also after a panic
	r.conn.Discard()
}

// Reset discards the connection with all state of the session, because the caller wishes so.
func (r *Retainer) Reset() {
	r.Discard()
	r.pinLost = false
}

// FailTransaction rolls back the open transaction. The session remains in a
// failed transaction until the caller ends it.
func (r *Retainer) FailTransaction() {
	r.transactionLost = true
	r.Discard()
}

// Return gives the server connection that the session retains back at its end. An
// open transaction is rolled back first: a new connection costs the server more, and callers
// that leave in transactions would take all connections from others. A connection with state
// of the session, or in the middle of an answer, is discarded.
func (r *Retainer) Return() {
	// After a panic in the proxy's own statements the session is pinned without a connection.
	defer r.releasePin()
	if r.conn == nil {
		return
	}
	if r.exchanging || r.pinned || r.transaction.MustDiscard || r.awaitsSync || !rollBack(r.conn) {
		r.Discard()
		return
	}
	r.conn.Release()
	r.clear()
	r.cfg.EndUse()
}

// clear resets the state of a connection that was released or
// discarded.
func (r *Retainer) clear() {
	r.releasePin()
	r.conn, r.awaitsSync, r.transaction = nil, false, Transaction{}
	r.Portals.Clear()
}

// releasePin releases the session's pin, if it has one.
func (r *Retainer) releasePin() {
	if r.pinned {
		r.pinned = false
		r.cfg.Pins.release(r.cfg.Caller)
	}
}

// rollBackTimeout is how long a server may take to roll back for a caller that has gone.
const rollBackTimeout = 500 * time.Millisecond

// rollBack ends the transaction of a connection and reports whether the server has answered
// the ROLLBACK, and that no transaction is open.
func rollBack(c pooler.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(rollBackTimeout))
	c.Send(&pgproto3.Query{String: "ROLLBACK"})
	if err := c.Flush(); err != nil {
		return false
	}
	rolledBack := false
	for {
		msg, err := c.Receive()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.CommandComplete:
			rolledBack = string(m.CommandTag) == "ROLLBACK"
		case *pgproto3.ReadyForQuery:
			return rolledBack && m.TxStatus == 'I'
		}
	}
}

// IsPinned reports whether the server connection is pinned to the session, or will be.
func (r *Retainer) IsPinned() bool { return r.pinned || r.pinReserved }

// ReservePin reserves a pin for the batch that begins, unless the session has one. It reports
// whether the caller may have it.
func (r *Retainer) ReservePin() bool {
	if r.pinned {
		return true
	}
	if !r.cfg.Pins.reserve(r.cfg.Caller, r.cfg.Limit) {
		return false
	}
	r.pinReserved = true
	return true
}

// SettlePin assigns the reserved pin to the connection that the session
// retains, or returns it if there is none.
func (r *Retainer) SettlePin() {
	if !r.pinReserved {
		return
	}
	r.pinReserved = false
	if r.conn == nil {
		r.cfg.Pins.release(r.cfg.Caller)
		return
	}
	r.pinned = true
}

// Pin retains the connection that acquire returns and pins it, outside a batch. It returns the
// error of acquire, or errLimit if the caller may not pin another one.
func (r *Retainer) Pin(acquire func() (pooler.Conn, *pgproto3.ErrorResponse), errLimit *pgproto3.ErrorResponse) *pgproto3.ErrorResponse {
	if !r.ReservePin() {
		return errLimit
	}
	defer r.SettlePin() // also after a panic
	conn, failure := acquire()
	if failure == nil {
		r.conn = conn
	}
	return failure
}
