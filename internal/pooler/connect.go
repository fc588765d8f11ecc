package pooler

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"marigoldhub.example/hub/internal/budgeter"
)

const (
	scramMechanism      = "SCRAM-SHA-256"
	stateTooManyClients = "53300"
	protocolVersion3    = 196608
	applicationName     = "marigoldhub"
	sslRequestCode      = 80877103
)

// ServerError is an ErrorResponse of a backend server while a connection is
// opened.
type ServerError struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

func (e *ServerError) Error() string { return "server refused: " + e.Code + ": " + e.Message }

// target is the data needed to open a connection to one server.
type target struct {
	address      string
	database     string
	user         string
	passwordFile string
	tls          bool
}

// connector opens and authenticates connections.
type connector struct {
	localIP net.IP
	// budget has the memory of long answers; nil means no limit.
	budget   *budgeter.Budget
	tls      func() *tls.Config
	password func(string) (string, error)
	cache    scramCache
}

// dial opens a TCP connection, with TLS if the target requires it. raw is the
// TCP connection below TLS.
func (c *connector) dial(ctx context.Context, t target) (conn net.Conn, raw *net.TCPConn, err error) {
	d := net.Dialer{}
	if c.localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.localIP}
	}
	conn, err = d.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, nil, err
	}
	raw, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, nil, errors.Errorf("connection to %s is not TCP", t.address)
	}
	if !t.tls {
		return conn, raw, nil
	}
	secured, err := c.secure(ctx, raw, t)
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return secured, raw, nil
}

func (c *connector) secure(ctx context.Context, raw *net.TCPConn, t target) (net.Conn, error) {
	if c.tls == nil {
		return nil, errors.New("TLS to backend servers is not configured")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	request := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, sslRequestCode)
	if _, err := raw.Write(request); err != nil {
		return nil, errors.Wrap(err, "send SSLRequest")
	}
	var answer [1]byte
	if _, err := raw.Read(answer[:]); err != nil {
		return nil, errors.Wrap(err, "read answer to SSLRequest")
	}
	if answer[0] != 'S' {
		return nil, errors.New("server does not offer TLS")
	}
	cfg := c.tls()
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(t.address)
	}
	secured := tls.Client(raw, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrap(err, "TLS handshake")
	}
	_ = raw.SetDeadline(time.Time{})
	return secured, nil
}

// open returns an authenticated connection that is clean.
func (c *connector) open(ctx context.Context, t target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	netConn, raw, err := c.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	opened := newConn(netConn, raw, c.budget)
	if err := c.startup(opened, t); err != nil {
		stop()
		_ = netConn.Close()
		opened.freeMemory()
		return nil, err
	}
	if !stop() {
		_ = netConn.Close()
		opened.freeMemory()
		return nil, ctx.Err()
	}
	return opened, nil
}

func (c *connector) startup(conn *conn, t target) error {
	conn.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: protocolVersion3,
		Parameters: map[string]string{
			"user":             t.user,
			"database":         t.database,
			"application_name": applicationName,
			// The proxy itself answers SET of these settings to these values, so
			// the defaults of a server or database must not differ.
			"client_encoding": "UTF8",
			"TimeZone":        "UTC",
			"DateStyle":       "ISO, MDY",
		},
	})
	if err := conn.fe.Flush(); err != nil {
		return errors.Wrap(err, "send startup message")
	}
	if err := c.authenticate(conn, t); err != nil {
		return err
	}
	for {
		msg, err := conn.fe.Receive()
		if err != nil {
			return errors.Wrap(err, "read startup response")
		}
		switch msg := msg.(type) {
		case *pgproto3.BackendKeyData:
			conn.processID = msg.ProcessID
			conn.secretKey = slices.Clone(msg.SecretKey)
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: msg.Code, Message: msg.Message}
		case *pgproto3.ReadyForQuery:
			conn.status = msg.TxStatus
			return nil
		}
	}
}

func (c *connector) authenticate(conn *conn, t target) error {
	var conv *scram.ClientConversation
	for {
		msg, err := conn.fe.Receive()
		if err != nil {
			return errors.Wrap(err, "read authentication request")
		}
		switch msg := msg.(type) {
		case *pgproto3.AuthenticationOk:
			if conv != nil && !conv.Valid() {
				return errors.New("server did not prove that it knows the password")
			}
			return nil
		case *pgproto3.AuthenticationSASL:
			if !slices.Contains(msg.AuthMechanisms, scramMechanism) {
				return errors.New("server does not offer " + scramMechanism)
			}
			client, err := c.scramClient(t)
			if err != nil {
				return err
			}
			conv = client.NewConversation()
			first, err := conv.Step("")
			if err != nil {
				return err
			}
			conn.fe.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			if conv == nil {
				return errors.New("unexpected SASL message")
			}
			response, err := conv.Step(string(msg.Data))
			if err != nil {
				return errors.Wrap(err, "SCRAM")
			}
			conn.fe.Send(&pgproto3.SASLResponse{Data: []byte(response)})
		case *pgproto3.AuthenticationSASLFinal:
			if conv == nil {
				return errors.New("unexpected SASL message")
			}
			if _, err := conv.Step(string(msg.Data)); err != nil {
				return errors.Wrap(err, "SCRAM")
			}
			continue
		case *pgproto3.ErrorResponse:
			return &ServerError{Code: msg.Code, Message: msg.Message}
		case *pgproto3.NoticeResponse:
			continue
		default:
			return errors.Errorf("authentication request %T is not supported", msg)
		}
		if err := conn.fe.Flush(); err != nil {
			return errors.Wrap(err, "send authentication response")
		}
	}
}

func (c *connector) scramClient(t target) (*scram.Client, error) {
	if t.passwordFile == "" || c.password == nil {
		return nil, errors.New("server demands a password and none is configured")
	}
	password, err := c.password(t.passwordFile)
	if err != nil {
		return nil, err
	}
	return c.cache.client(t.user, password)
}

// cancel sends a cancel request and returns when the server has closed the
// connection that carried it. sent tells whether the request may have arrived.
func (c *connector) cancel(ctx context.Context, t target, processID uint32, secretKey []byte) (sent bool, err error) {
	netConn, raw, err := c.dial(ctx, t)
	if err != nil {
		return false, errors.Wrap(err, "connect for cancel request")
	}
	defer func() { _ = netConn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })()
	msg, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secretKey}).Encode(nil)
	if err != nil {
		return false, err
	}
	if _, err := netConn.Write(msg); err != nil {
		return true, errors.Wrap(err, "send cancel request")
	}
	var buf [1]byte
	_, err = netConn.Read(buf[:])
	if err == nil {
		return true, errors.New("unexpected data after cancel request")
	}
	if isTimeout(err) {
		return true, errors.Wrap(err, "server did not close the cancel connection")
	}
	return true, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
