package prober

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/tracker"
)

// Conn is an authenticated connection to the control interface of a backend
// server. It implements [Session].
type Conn struct {
	netConn  net.Conn
	frontend *pgproto3.Frontend
}

func newConn(netConn net.Conn) *Conn {
	c := &Conn{}
	c.setNetConn(netConn)
	return c
}

func (c *Conn) setNetConn(netConn net.Conn) {
	c.netConn = netConn
	c.frontend = pgproto3.NewFrontend(netConn, netConn)
}

// ReadStatus implements [tracker.StatusReader].
func (c *Conn) ReadStatus(ctx context.Context) (tracker.Status, error) {
	return c.query(ctx, StatusQuery)
}

// Fence implements promoter.Commander.
func (c *Conn) Fence(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.query(ctx, fenceQuery(term, promoter))
}

// Promote implements promoter.Commander.
func (c *Conn) Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.query(ctx, promoteQuery(term, promoter))
}

// Follow implements promoter.Commander.
func (c *Conn) Follow(ctx context.Context, term uint64, primary, address string) (tracker.Status, error) {
	return c.query(ctx, followQuery(term, primary, address))
}

// Close closes the connection. It sends no Terminate message, because the write
// could block if the network drops the packets.
func (c *Conn) Close() error { return c.netConn.Close() }

// interruptOn makes reads and writes fail once ctx ends. The returned function
// stops that and removes the deadline, so that the connection can be used again.
func (c *Conn) interruptOn(ctx context.Context) func() {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		c.netConn.SetDeadline(pastDeadline)
		close(interrupted)
	})
	return func() {
		if !stop() {
			<-interrupted
			c.netConn.SetDeadline(time.Time{})
		}
	}
}

// query sends a query whose response is one status row.
func (c *Conn) query(ctx context.Context, text string) (tracker.Status, error) {
	if err := ctx.Err(); err != nil {
		return tracker.Status{}, err
	}
	stop := c.interruptOn(ctx)
	defer stop()
	s, err := c.exchange(text)
	if ctxErr := ctx.Err(); err != nil && ctxErr != nil {
		return tracker.Status{}, ctxErr
	}
	return s, err
}

func (c *Conn) exchange(text string) (tracker.Status, error) {
	c.frontend.Send(&pgproto3.Query{String: text})
	if err := c.frontend.Flush(); err != nil {
		return tracker.Status{}, err
	}
	var r statusReceiver
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return tracker.Status{}, err
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			return r.result()
		}
		r.receive(msg)
	}
}

// waitReady reads the messages after authentication up to ReadyForQuery.
func (c *Conn) waitReady() error {
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return newServerError(m)
		case *pgproto3.BackendKeyData, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		default:
			return fmt.Errorf("unexpected message %T at the start of a connection", msg)
		}
	}
}

// statusReceiver collects the status row and the first error of one response.
type statusReceiver struct {
	columns StatusColumns
	status  tracker.Status
	rows    int
	err     error
}

func (r *statusReceiver) receive(msg pgproto3.BackendMessage) {
	switch m := msg.(type) {
	case *pgproto3.RowDescription:
		columns, err := NewStatusColumns(m)
		r.columns = columns
		r.setError(err)
	case *pgproto3.DataRow:
		s, err := r.columns.Parse(m)
		r.status, r.rows = s, r.rows+1
		r.setError(err)
	case *pgproto3.ErrorResponse:
		r.setError(newServerError(m))
	}
}

func (r *statusReceiver) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *statusReceiver) result() (tracker.Status, error) {
	if r.err != nil {
		return tracker.Status{}, r.err
	}
	if r.rows != 1 {
		return tracker.Status{}, errors.New("response has no single status row")
	}
	return r.status, nil
}
