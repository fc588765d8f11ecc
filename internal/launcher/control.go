package launcher

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/keyer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/tracker"
)

// controlDialer opens control sessions to the backend servers of the catalog.
type controlDialer struct {
	catalog checker.CatalogSource
	localIP net.IP
	tls     func() *tls.Config
}

// connect returns the function that opens control sessions to a server. The
// catalog is read for each connection, so that a changed password or address
// takes effect.
func (c controlDialer) connect(group, server string) prober.ConnectFunc {
	return func(ctx context.Context) (prober.Session, error) {
		d, err := c.dialer(group, server)
		if err != nil {
			return nil, err
		}
		return d.Connect(ctx)
	}
}

func (c controlDialer) dialer(group, server string) (*prober.Dialer, error) {
	g, ok := c.catalog.Catalog().Group(group)
	if !ok {
		return nil, fmt.Errorf("database group %q is not in force", group)
	}
	s, ok := g.TrackerGroup().Server(server)
	if !ok {
		return nil, fmt.Errorf("database group %q has no backend server %q", group, server)
	}
	d := &prober.Dialer{Address: s.Address, LocalIP: c.localIP, User: g.ServerUser, Database: g.Database}
	if g.ServerPasswordFile != "" {
		password, err := keyer.Password(g.ServerPasswordFile)
		if err != nil {
			return nil, err
		}
		d.Password = password
	}
	if g.UsesServerTLS() {
		d.TLS = c.tls()
	}
	return d, nil
}

// pooledStatusReader reads the status of a backend server over a pooled
// connection.
type pooledStatusReader struct{ pool pooler.Acquirer }

func (p pooledStatusReader) read(ctx context.Context, group, server string) (tracker.Status, error) {
	conn, err := p.pool.Acquire(ctx, pooler.Request{Group: group, Server: server, Class: pooler.Write})
	if err != nil {
		return tracker.Status{}, err
	}
	status, err := readStatus(ctx, conn)
	if err != nil {
		conn.Discard()
		return tracker.Status{}, err
	}
	conn.Release()
	return status, nil
}

func readStatus(ctx context.Context, conn pooler.Conn) (tracker.Status, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetReadDeadline(deadline)
		defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	}
	conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	if err := conn.Flush(); err != nil {
		return tracker.Status{}, err
	}
	var columns prober.StatusColumns
	var status tracker.Status
	var failed error
	for {
		msg, err := conn.Receive()
		if err != nil {
			return status, err
		}
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			columns, failed = prober.NewStatusColumns(m)
		case *pgproto3.DataRow:
			if failed == nil {
				status, failed = columns.Parse(m)
			}
		case *pgproto3.ErrorResponse:
			failed = fmt.Errorf("read status: %s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return status, failed
		}
	}
}
