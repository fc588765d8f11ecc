package pooler

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/framer"
)

const statusIdle = 'I'

// conn is one authenticated server connection. It is used by one goroutine at
// a time.
type conn struct {
	server *backend
	net    net.Conn
	raw    *net.TCPConn
	fe     *pgproto3.Frontend
	// answers is what fe reads from; nil without a memory budget.
	answers *framer.Answers

	processID uint32
	secretKey []byte

	// pending counts the ReadyForQuery messages that are still expected.
	pending int
	// awaitsSync is set while extended-protocol messages were sent without a
	// Sync after them. unflushed is set while messages are buffered here.
	awaitsSync bool
	unflushed  bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	broken bool

	statements statements
	// class is the class of the request that uses the connection. idleSince is
	// when the connection last became idle.
	class     Class
	idleSince time.Time
}

func newConn(netConn net.Conn, raw *net.TCPConn, budget *budgeter.Budget) *conn {
	if budget == nil {
		return &conn{net: netConn, raw: raw, fe: pgproto3.NewFrontend(netConn, netConn)}
	}
	answers := framer.NewAnswers(netConn, budget)
	return &conn{net: netConn, raw: raw, fe: pgproto3.NewFrontend(answers, netConn), answers: answers}
}

// Server implements [Conn].
func (c *conn) Server() string { return c.server.name }

// Send implements [Conn].
func (c *conn) Send(msgs ...pgproto3.FrontendMessage) {
	for _, msg := range msgs {
		switch msg.(type) {
		case *pgproto3.Query, *pgproto3.Sync, *pgproto3.FunctionCall:
			c.pending++
			c.awaitsSync = false
		case *pgproto3.Flush:
		case *pgproto3.Terminate:
			c.broken = true
		default:
			c.awaitsSync = true
		}
		c.unflushed = true
		c.fe.Send(msg)
	}
}

// Flush implements [Conn].
func (c *conn) Flush() error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.fe.Flush(); err != nil {
		c.broken = true
		return err
	}
	c.unflushed = false
	return nil
}

// Receive implements [Conn].
func (c *conn) Receive() (pgproto3.BackendMessage, error) {
	msg, err := c.fe.Receive()
	if err != nil {
		// After a timeout, the next call continues a partly read message.
		c.broken = c.broken || !isTimeout(err)
		return nil, err
	}
	switch msg := msg.(type) {
	case *pgproto3.ReadyForQuery:
		c.pending--
		c.status = msg.TxStatus
	case *pgproto3.ErrorResponse:
		c.broken = c.broken || msg.Severity == "FATAL" || msg.Severity == "PANIC"
	}
	return msg, nil
}

// SetReadDeadline implements [Conn].
func (c *conn) SetReadDeadline(t time.Time) error { return c.net.SetReadDeadline(t) }

// HasStatement implements [Conn].
func (c *conn) HasStatement(name string) bool { return c.statements.use(name) }

// AddStatement implements [Conn].
func (c *conn) AddStatement(name string) { c.statements.add(name) }

// RemoveStatement implements [Conn].
func (c *conn) RemoveStatement(name string) { c.statements.remove(name) }

// clean reports whether every expected response was read, no transaction is
// open and nothing is buffered in either direction.
func (c *conn) clean() bool {
	return !c.broken && c.pending == 0 && !c.awaitsSync && !c.unflushed &&
		c.status == statusIdle && c.fe.ReadBufferLen() == 0 && (c.answers == nil || c.answers.Buffered() == 0)
}

// usable reports whether an idle connection can be handed out.
func (c *conn) usable() bool { return c.clean() && idleConnOpen(c.raw) }

// close ends the connection and returns when the server has closed it or after
// closeTimeout. A connection that is not clean is closed at once.
func (c *conn) close() {
	defer func() {
		_ = c.net.Close()
		c.freeMemory()
	}()
	if !c.clean() {
		return
	}
	_ = c.net.SetDeadline(time.Now().Add(closeTimeout))
	c.fe.Send(&pgproto3.Terminate{})
	if c.fe.Flush() != nil {
		return
	}
	for {
		if _, err := c.fe.Receive(); err != nil {
			return
		}
	}
}

// freeMemory returns the memory of the answer that was read last.
func (c *conn) freeMemory() {
	if c.answers != nil {
		c.answers.Close()
	}
}

// trimStatements closes the least recently used prepared statements until
// statementsAfterTrim remain.
func (c *conn) trimStatements() error {
	names := c.statements.oldest(statementsAfterTrim)
	if err := c.SetReadDeadline(time.Now().Add(trimTimeout)); err != nil {
		return err
	}
	for _, name := range names {
		c.Send(&pgproto3.Close{ObjectType: 'S', Name: name})
	}
	c.Send(&pgproto3.Sync{})
	if err := c.Flush(); err != nil {
		return err
	}
	for c.pending > 0 {
		if _, err := c.Receive(); err != nil {
			return err
		}
	}
	for _, name := range names {
		c.statements.remove(name)
	}
	return c.SetReadDeadline(time.Time{})
}
