package gatekeeper

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/resolver"
)

// maxNegotiations bounds the encryption requests before the startup message.
const maxNegotiations = 3

// loginMessageLimit is the largest message before authentication, in bytes.
const loginMessageLimit = 8 << 10

// login is one connection up to the end of authentication.
type login struct {
	g       *Gatekeeper
	raw     net.Conn
	conn    net.Conn // raw, or TLS over it
	backend *pgproto3.Backend
	secure  bool
	startup startup
	caller  checker.Caller
	group   string
}

// errEnded ends a connection without an answer.
var errEnded = errors.New("connection ended")

// loginError ends a connection with a FATAL response.
type loginError struct{ code, message string }

func (e *loginError) Error() string { return e.message }

// run returns the session of an authenticated caller, or nil.
func (l *login) run() (uint32, *entry) {
	_ = l.conn.SetDeadline(time.Now().Add(l.g.cfg.AuthWait))
	l.newBackend()
	id, e, err := l.open()
	var failure *loginError
	if errors.As(err, &failure) {
		l.g.parts.Meter.Refused(l.caller.Name, failure.code)
		l.write(resolver.Fatal(failure.code, failure.message))
	}
	if err != nil {
		return 0, nil
	}
	_ = l.conn.SetDeadline(time.Time{})
	return id, e
}

func (l *login) newBackend() {
	l.backend = pgproto3.NewBackend(l.conn, l.conn)
	l.backend.SetMaxBodyLen(loginMessageLimit)
}

func (l *login) write(msgs ...pgproto3.BackendMessage) {
	for _, m := range msgs {
		l.backend.Send(m)
	}
	_ = l.backend.Flush()
}

func (l *login) open() (uint32, *entry, error) {
	msg, err := l.negotiate()
	if err != nil {
		return 0, nil, err
	}
	if l.startup, err = parseStartup(msg); err != nil {
		return 0, nil, err
	}
	if len(l.startup.declined) > 0 || msg.ProtocolVersion != pgproto3.ProtocolVersion30 {
		l.write(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: l.startup.declined})
	}
	if err := l.authenticate(); err != nil {
		return 0, nil, err
	}
	return l.attach()
}

// negotiate answers encryption requests and returns the startup message.
func (l *login) negotiate() (*pgproto3.StartupMessage, error) {
	for range maxNegotiations {
		msg, err := l.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errEnded
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			l.cancel(m)
			return nil, errEnded
		case *pgproto3.SSLRequest:
			err = l.startTLS()
		default:
			_, err = l.conn.Write([]byte{'N'})
		}
		if err != nil {
			return nil, errEnded
		}
	}
	return nil, errEnded
}

// startTLS answers a request for TLS. What was read ahead in clear text is
// dropped with the old backend.
func (l *login) startTLS() error {
	if l.g.cfg.TLS == nil || l.secure {
		_, err := l.conn.Write([]byte{'N'})
		return err
	}
	if _, err := l.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	c := tls.Server(l.raw, l.g.cfg.TLS)
	if err := c.Handshake(); err != nil {
		return err
	}
	l.conn, l.secure = c, true
	l.newBackend()
	return nil
}

// cancel delivers a cancel request. The peer is told nothing, as by a server.
func (l *login) cancel(m *pgproto3.CancelRequest) {
	ctx, stop := context.WithTimeout(context.Background(), l.g.cfg.AuthWait)
	defer stop()
	if err := l.g.dispatch(ctx, m.ProcessID, m.SecretKey); err != nil && !errors.Is(err, ErrUnknownSession) {
		l.g.log.WithError(err).Debug("gatekeeper: cancel request not delivered")
	}
}

// attach opens the session of the authenticated caller.
func (l *login) attach() (uint32, *entry, error) {
	if l.caller.TLSRequired && !l.secure {
		return 0, nil, &loginError{resolver.CodeInvalidLogin, "this caller must connect with TLS"}
	}
	group, ok := l.g.parts.Catalogs.Catalog().GroupOfDatabase(l.startup.database)
	if !ok || !slices.Contains(l.caller.Groups, group.Name) {
		return 0, nil, &loginError{resolver.CodeUnknownDatabase, "database \"" + l.startup.database + "\" does not exist"}
	}
	l.group = group.Name
	session, err := l.g.parts.Relayer.NewSession(relayer.AuthenticatedConn{
		Conn: l.conn, Backend: l.backend, Caller: l.caller, Group: group.Name, Token: l.startup.token,
		Settings: l.startup.settings,
	})
	if err != nil {
		return 0, nil, &loginError{resolver.CodeInvalidLogin, err.Error()}
	}
	e := &entry{session: session, secret: randomBytes(secretBytes)}
	id, ok := l.g.add(l.caller.Name, l.caller.ConnectionLimit, e)
	if !ok {
		return 0, nil, &loginError{resolver.CodeTooManyConnections, "too many connections for caller \"" + l.caller.Name + "\""}
	}
	l.welcome(id, e.secret)
	return id, e, nil
}

// welcome ends the startup. A failed write shows at the session's first read.
func (l *login) welcome(id uint32, secret []byte) {
	l.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range l.parameters() {
		l.backend.Send(&p)
	}
	l.write(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: secret}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func (l *login) parameters() []pgproto3.ParameterStatus {
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: l.g.cfg.ServerVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: l.startup.application},
		{Name: "session_authorization", Value: l.startup.user},
		{Name: "is_superuser", Value: "off"},
		{Name: "default_transaction_read_only", Value: "off"},
		{Name: "in_hot_standby", Value: "off"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
}
