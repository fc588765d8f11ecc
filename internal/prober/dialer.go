package prober

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Dialer opens authenticated connections to one backend server.
type Dialer struct {
	// Address is "host:port", where the host is an IP address.
	Address string
	// LocalIP is the source address. If nil, the system chooses it.
	LocalIP net.IP
	// TLS is the TLS configuration. If nil, connections do not use TLS.
	TLS *tls.Config
	// User and Password are the credentials, and Database is the database to
	// connect to.
	User     string
	Password string
	Database string
}

// Dial opens a connection. ctx applies to all steps up to authentication.
func (d *Dialer) Dial(ctx context.Context) (*Conn, error) {
	netConn, err := d.dialTCP(ctx)
	if err != nil {
		return nil, err
	}
	c := newConn(netConn)
	stop := c.interruptOn(ctx)
	defer stop()
	if err := d.handshake(c); err != nil {
		netConn.Close()
		if ctxErr := ctx.Err(); ctxErr != nil {
			return nil, fmt.Errorf("connect to %s: %w", d.Address, ctxErr)
		}
		return nil, fmt.Errorf("connect to %s: %w", d.Address, err)
	}
	return c, nil
}

// Connect is [Dialer.Dial] with the signature of a [ConnectFunc].
func (d *Dialer) Connect(ctx context.Context) (Session, error) {
	c, err := d.Dial(ctx)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (d *Dialer) dialTCP(ctx context.Context) (net.Conn, error) {
	var nd net.Dialer
	if d.LocalIP != nil {
		nd.LocalAddr = &net.TCPAddr{IP: d.LocalIP}
	}
	return nd.DialContext(ctx, "tcp", d.Address)
}

func (d *Dialer) handshake(c *Conn) error {
	if d.TLS != nil {
		if err := d.startTLS(c); err != nil {
			return err
		}
	}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             d.User,
			"database":         d.Database,
			"application_name": "marigoldhub-prober",
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return wrapEarlyClose(err)
	}
	first, err := c.frontend.Receive()
	if err != nil {
		return wrapEarlyClose(err)
	}
	a := authenticator{frontend: c.frontend, user: d.User, password: d.Password}
	if err := a.run(first); err != nil {
		return err
	}
	return c.waitReady()
}

func (d *Dialer) startTLS(c *Conn) error {
	c.frontend.Send(&pgproto3.SSLRequest{})
	if err := c.frontend.Flush(); err != nil {
		return wrapEarlyClose(err)
	}
	answer := make([]byte, 1)
	if _, err := io.ReadFull(c.netConn, answer); err != nil {
		return wrapEarlyClose(err)
	}
	if answer[0] != 'S' {
		return errors.New("backend server does not offer TLS")
	}
	secure := tls.Client(c.netConn, d.TLS)
	if err := secure.Handshake(); err != nil {
		return err
	}
	c.setNetConn(secure)
	return nil
}

// wrapEarlyClose returns a [ConnectionClosedError] if err shows that the peer
// closed the connection, and err otherwise.
func wrapEarlyClose(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return &ConnectionClosedError{Err: err}
	}
	return err
}

// pastDeadline makes reads and writes that are in progress fail at once.
var pastDeadline = time.Unix(1, 0)
