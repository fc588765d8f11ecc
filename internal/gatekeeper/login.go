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
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/resolver"
)

// maxNegotiationMessages is the maximum number of messages before and including
// the startup message; the others are encryption requests.
const maxNegotiationMessages = 3

// loginMessageLimit is the size limit of a message before authentication, in
// bytes.
const loginMessageLimit = 8 << 10

// login handles one connection until it is authenticated.
type login struct {
	g       *Gatekeeper
	raw     net.Conn
	conn    net.Conn // raw, or TLS over it
	backend *pgproto3.Backend
	in      *framer.Inbound
	usesTLS bool
	startup startup
	caller  checker.Caller
	group   string
	// id is the process id of the registered session; 0 before.
	id uint32
	// teamKey is the key of a member of a team.
	teamKey teamKey
}

// errConnectionEnded ends a connection without a response.
var errConnectionEnded = errors.New("connection ended")

// loginError ends a connection with a FATAL error response.
type loginError struct{ code, message string }

func (e *loginError) Error() string { return e.message }

// run returns the session of an authenticated caller, or nil if the connection is to be
// closed.
func (l *login) run() *authenticatedConn {
	_ = l.conn.SetDeadline(time.Now().Add(l.g.cfg.AuthTimeout))
	l.newBackend()
	c, err := l.handshake()
	var failure *loginError
	if errors.As(err, &failure) {
		l.g.deps.Meter.Refused(l.caller.Name, failure.code)
		l.write(resolver.Fatal(failure.code, failure.message))
	}
	if err != nil {
		return nil
	}
	_ = l.conn.SetDeadline(time.Time{})
	return c
}

func (l *login) newBackend() {
	l.in = framer.NewInbound(l.conn, l.g.deps.Budget)
	l.backend = pgproto3.NewBackend(l.in, l.conn)
	l.backend.SetMaxBodyLen(loginMessageLimit)
}

func (l *login) write(msgs ...pgproto3.BackendMessage) {
	for _, m := range msgs {
		l.backend.Send(m)
	}
	_ = l.backend.Flush()
}

// handshake performs all steps from the first message to the open session.
func (l *login) handshake() (*authenticatedConn, error) {
	msg, err := l.negotiate()
	if err != nil {
		return nil, err
	}
	if l.startup, err = parseStartup(msg); err != nil {
		return nil, err
	}
	if len(l.startup.unsupportedOptions) > 0 || msg.ProtocolVersion != pgproto3.ProtocolVersion30 {
		l.write(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: l.startup.unsupportedOptions})
	}
	if err := l.authenticate(); err != nil {
		return nil, err
	}
	return l.openSession()
}

// negotiate responds to encryption requests and returns the startup message.
func (l *login) negotiate() (*pgproto3.StartupMessage, error) {
	for range maxNegotiationMessages {
		msg, err := l.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errConnectionEnded
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			l.cancel(m)
			return nil, errConnectionEnded
		case *pgproto3.SSLRequest:
			err = l.startTLS()
		default:
			_, err = l.conn.Write([]byte{'N'})
		}
		if err != nil {
			return nil, errConnectionEnded
		}
	}
	return nil, errConnectionEnded
}

// startTLS responds to a request for TLS. The new backend discards bytes that
// were read ahead in clear text.
func (l *login) startTLS() error {
	if l.g.cfg.TLS == nil || l.usesTLS {
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
	l.conn, l.usesTLS = c, true
	l.newBackend()
	return nil
}

// cancel delivers a cancel request. As with PostgreSQL, the peer gets no
// response.
func (l *login) cancel(m *pgproto3.CancelRequest) {
	ctx, stop := context.WithTimeout(context.Background(), l.g.cfg.AuthTimeout)
	defer stop()
	if err := l.g.routeCancel(ctx, m.ProcessID, m.SecretKey); err != nil && !errors.Is(err, ErrUnknownSession) {
		l.g.log.WithError(err).Debug("gatekeeper: cancel request not delivered")
	}
}

// openSession checks that the authenticated caller may use the database, and
// opens its session.
func (l *login) openSession() (*authenticatedConn, error) {
	if l.caller.TLSRequired && !l.usesTLS {
		return nil, &loginError{resolver.CodeInvalidLogin, "this caller must connect with TLS"}
	}
	group, ok := l.g.deps.Catalogs.Catalog().GroupOfDatabase(l.startup.database)
	if !ok || !slices.Contains(l.caller.Groups, group.Name) {
		return nil, &loginError{resolver.CodeUnknownDatabase, "database \"" + l.startup.database + "\" does not exist"}
	}
	l.group = group.Name
	session, err := l.g.deps.Relayer.NewSession(relayer.AuthenticatedConn{
		Conn: l.conn, Backend: l.backend, Inbound: l.in, Caller: l.caller, Group: group.Name, Token: l.startup.token,
		Settings: l.startup.settings,
	})
	if err != nil {
		return nil, &loginError{resolver.CodeInvalidLogin, err.Error()}
	}
	c := &authenticatedConn{session: session, secret: randomBytes(secretBytes), group: group.Name, teamKey: l.teamKey}
	if l.id, ok = l.g.register(l.caller.Name, l.caller.ConnectionLimit, c); !ok {
		return nil, &loginError{resolver.CodeTooManyConnections, "too many connections for caller \"" + l.caller.Name + "\""}
	}
	// A manifest that came into force since the login is not reviewed for this session.
	if !c.mayContinue(l.g.deps.Catalogs.Catalog()) {
		c.session.Revoke()
	}
	l.completeStartup(l.id, c.secret)
	return c, nil
}

// completeStartup sends the messages that complete the startup. If a write
// fails, so does the session's first read.
func (l *login) completeStartup(id uint32, secret []byte) {
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
