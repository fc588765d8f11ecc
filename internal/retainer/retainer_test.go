package retainer_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/retainer"
)

// conn is a server connection that answers with the given messages.
type conn struct {
	pooler.Conn
	answers             []pgproto3.BackendMessage
	released, discarded int
}

func (c *conn) Send(...pgproto3.FrontendMessage)  {}
func (c *conn) Flush() error                      { return nil }
func (c *conn) SetReadDeadline(t time.Time) error { return nil }
func (c *conn) Release()                          { c.released++ }
func (c *conn) Discard()                          { c.discarded++ }

func (c *conn) Receive() (pgproto3.BackendMessage, error) {
	if len(c.answers) == 0 {
		return nil, errors.New("connection lost")
	}
	m := c.answers[0]
	c.answers = c.answers[1:]
	return m, nil
}

// panicking is a server connection that cannot be discarded.
type panicking struct{ *conn }

func (panicking) Discard() { panic("test") }

func newRetainer(pins *retainer.Pins) (*retainer.Retainer, *int) {
	ends := 0
	return retainer.New(retainer.Config{Pins: pins, Caller: "web", Limit: 1, EndUse: func() { ends++ }}), &ends
}

var rolledBack = []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}

// Guards against a connection that is used again with a transaction, state or an unread answer
// of a caller that has left, against one that is closed without need, and against portals of a
// former connection that count as those of the next one.
func TestReturn(t *testing.T) {
	open := retainer.Transaction{IsOpen: true}
	cases := []struct {
		name    string
		retain  func(*retainer.Retainer, *conn)
		answers []pgproto3.BackendMessage
		// released is set if the connection is used again.
		released bool
	}{
		{"in a transaction", func(r *retainer.Retainer, c *conn) { r.KeepInTransaction(c, open) }, rolledBack, true},
		{"in a failed transaction", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true, HasFailed: true})
		}, rolledBack, true},
		{"the server does not answer", func(r *retainer.Retainer, c *conn) { r.KeepInTransaction(c, open) }, nil, false},
		{"the transaction stays open", func(r *retainer.Retainer, c *conn) { r.KeepInTransaction(c, open) }, []pgproto3.BackendMessage{rolledBack[0], &pgproto3.ReadyForQuery{TxStatus: 'T'}}, false},
		{"another answer", func(r *retainer.Retainer, c *conn) { r.KeepInTransaction(c, open) }, []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}, rolledBack[1]}, false},
		{"must be discarded", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true, MustDiscard: true})
		}, rolledBack, false},
		{"awaits Sync", func(r *retainer.Retainer, c *conn) { r.KeepUntilSync(c) }, rolledBack, false},
		{"in the middle of an answer", func(r *retainer.Retainer, c *conn) { r.KeepInTransaction(c, open); r.SetExchanging(true) }, rolledBack, false},
		{"pinned", func(r *retainer.Retainer, c *conn) { r.ReservePin(); r.Finish(c, false); r.SettlePin() }, rolledBack, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, ends := newRetainer(&retainer.Pins{})
			conn := &conn{answers: slices.Clone(c.answers)}
			c.retain(r, conn)
			r.Portals.Set("p", &classifier.Result{})
			r.Return()
			r.Return() // there is nothing to return any more
			if conn.released+conn.discarded != 1 || (conn.released == 1) != c.released {
				t.Errorf("released %d times, discarded %d times", conn.released, conn.discarded)
			}
			if *ends != 1 || r.Conn() != nil || r.Status() != 'I' {
				t.Errorf("%d ends of the use, connection %v, status %c", *ends, r.Conn(), r.Status())
			}
			if _, ok := r.Portals.Get("p"); ok {
				t.Error("a portal is left")
			}
		})
	}
}

// Guards against a lost transaction that continues on another connection, and against a
// session that goes on without the state that was on its pinned connection.
func TestLostConnections(t *testing.T) {
	cases := []struct {
		name              string
		do                func(*retainer.Retainer, *conn)
		status            byte
		inTransaction     bool
		endsOnError       bool
		released, discard int
	}{
		{"lost outside a transaction", func(r *retainer.Retainer, c *conn) { r.Lose(c) }, 'I', false, false, 0, 1},
		{"transaction fails", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true})
			r.FailTransaction()
		}, 'E', true, false, 0, 1},
		{"lost transaction is ended", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true})
			r.FailTransaction()
			r.SetLostTransaction(false)
		}, 'I', false, false, 0, 1},
		{"pinned", func(r *retainer.Retainer, c *conn) {
			r.ReservePin()
			r.Finish(c, false)
			r.SettlePin()
			r.Lose(c)
		}, 'I', false, true, 0, 1},
		{"pinned, and the caller resets the session", func(r *retainer.Retainer, c *conn) {
			r.ReservePin()
			r.Finish(c, false)
			r.SettlePin()
			r.Reset()
		}, 'I', false, false, 0, 1},
		{"finished", func(r *retainer.Retainer, c *conn) { r.Finish(c, false) }, 'I', false, false, 1, 0},
		{"finished, and unfit", func(r *retainer.Retainer, c *conn) { r.Finish(c, true) }, 'I', false, false, 0, 1},
		{"failed in a transaction", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true, HasFailed: true})
		}, 'E', true, false, 0, 0},
		{"in a transaction", func(r *retainer.Retainer, c *conn) {
			r.KeepInTransaction(c, retainer.Transaction{IsOpen: true, Evidence: resolver.ProvedWrite})
		}, 'T', true, false, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newRetainer(&retainer.Pins{})
			conn := &conn{}
			c.do(r, conn)
			if r.Status() != c.status || r.InTransaction() != c.inTransaction || r.EndsOnError() != c.endsOnError {
				t.Errorf("status %c, in a transaction %v, ends on error %v", r.Status(), r.InTransaction(), r.EndsOnError())
			}
			if conn.released != c.released || conn.discarded != c.discard {
				t.Errorf("released %d times, discarded %d times", conn.released, conn.discarded)
			}
		})
	}
}

// Guards against pins above the limit of a caller, and against pins that are never given back.
func TestPins(t *testing.T) {
	pin := func(r *retainer.Retainer, c pooler.Conn, failure *pgproto3.ErrorResponse) *pgproto3.ErrorResponse {
		return r.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) { return c, failure }, resolver.Error("53300", "limit", ""))
	}
	cases := []struct {
		name string
		do   func(*retainer.Retainer)
		// free is set if the caller may pin another connection after that.
		free bool
	}{
		{"pinned", func(r *retainer.Retainer) { r.ReservePin(); r.Finish(&conn{}, false); r.SettlePin() }, false},
		{"reserved for a batch that failed", func(r *retainer.Retainer) { r.ReservePin(); r.SettlePin() }, true},
		{"reserved twice", func(r *retainer.Retainer) {
			r.ReservePin()
			r.Finish(&conn{}, false)
			r.SettlePin()
			r.ReservePin()
			r.SettlePin()
			r.Return()
		}, true},
		{"pinned for startup settings", func(r *retainer.Retainer) { pin(r, &conn{}, nil) }, false},
		{"no connection for startup settings", func(r *retainer.Retainer) { pin(r, nil, resolver.NotRunError("test")) }, true},
		{"panic while waiting for a connection", func(r *retainer.Retainer) {
			defer func() { _ = recover() }()
			r.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) { panic("test") }, nil)
		}, true},
		{"panic while the connection is discarded", func(r *retainer.Retainer) {
			defer func() { _ = recover() }()
			pin(r, panicking{&conn{}}, nil)
			r.Discard()
		}, true},
		{"returned after a panic in the proxy's own statements", func(r *retainer.Retainer) {
			pin(r, &conn{}, nil)
			r.EndTransaction()
			r.Return()
		}, true},
		{"returned", func(r *retainer.Retainer) { pin(r, &conn{}, nil); r.Return() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pins := &retainer.Pins{}
			r, _ := newRetainer(pins)
			c.do(r)
			other, _ := newRetainer(pins)
			if got := other.ReservePin(); got != c.free {
				t.Errorf("another pin: %v, want %v", got, c.free)
			}
			if c.free {
				other.SettlePin()
			}
			if failure := pin(other, &conn{}, nil); (failure == nil) != c.free {
				t.Errorf("another pin for startup settings: %v", failure)
			}
		})
	}
}
