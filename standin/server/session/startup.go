package session

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"marigoldhub.example/hub/standin/server/executor"
	"marigoldhub.example/hub/standin/server/rows"
)

const (
	startupTimeout = 10 * time.Second
	scramName      = "SCRAM-SHA-256"
	scramRounds    = 4096
)

// errCanceled ends a connection that carried a cancel request.
var errCanceled = errors.New("cancel request served")

// negotiate reads messages until the client sends its startup message.
func (s *Session) negotiate() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		s.cfg.Freeze.Wait(s.ctx)
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg, nil
		case *pgproto3.CancelRequest:
			s.cfg.Registry.cancel(msg.ProcessID, msg.SecretKey)
			return nil, errCanceled
		case *pgproto3.SSLRequest:
			if err := s.acceptTLS(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func (s *Session) acceptTLS() error {
	if s.cfg.TLS == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	s.conn = tls.Server(s.conn, s.cfg.TLS)
	s.be = pgproto3.NewBackend(s.conn, s.conn)
	return nil
}

// open brings the connection to the first ReadyForQuery.
func (s *Session) open() error {
	s.conn.SetDeadline(time.Now().Add(startupTimeout))
	msg, err := s.negotiate()
	if err != nil {
		return err
	}
	s.user = msg.Parameters["user"]
	if !s.cfg.Registry.add(s, s.cfg.ConnectionLimit) {
		return s.refuse("53300", "sorry, too many clients already")
	}
	time.Sleep(s.cfg.OpenDelay)
	if err := s.authenticate(); err != nil {
		return err
	}
	exec, err := executor.New(s.ctx, executor.Config{
		Node: s.cfg.Node, Faults: s.cfg.Faults, Statements: &s.cfg.Registry.Statements, PID: s.pid,
		Database: msg.Parameters["database"], Connections: s.cfg.Registry.now, Report: s.report, Forget: s.forget,
	})
	if err != nil {
		return err
	}
	s.cfg.Registry.attach(s, exec)
	s.greet()
	if err := s.be.Flush(); err != nil {
		return err
	}
	return s.conn.SetDeadline(time.Time{})
}

func (s *Session) greet() {
	s.be.Send(&pgproto3.AuthenticationOk{})
	for _, setting := range s.exec.Reported() {
		s.report(setting)
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func (s *Session) report(setting executor.Setting) {
	s.be.Send(&pgproto3.ParameterStatus{Name: setting.Name, Value: setting.Value})
}

// forget drops a prepared statement, or all statements and portals if the name
// is empty.
func (s *Session) forget(name string) {
	if name != "" {
		delete(s.statements, name)
		return
	}
	clear(s.statements)
	clear(s.portals)
	clear(s.plans)
}

// refuse ends the startup with an error for the client.
func (s *Session) refuse(code, message string) error {
	s.be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	if err := s.be.Flush(); err != nil {
		return err
	}
	s.linger()
	return &rows.Error{Code: code, Message: message}
}

// linger reads until the client closes, so that a reset does not overtake the
// last message.
func (s *Session) linger() {
	if c, ok := s.conn.(*net.TCPConn); ok {
		c.CloseWrite()
	}
	s.conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, s.conn)
}

func (s *Session) authenticate() error {
	if s.cfg.Password == "" {
		return nil
	}
	err := s.scram()
	if err != nil {
		return errors.Join(err, s.refuse("28P01", fmt.Sprintf("password authentication failed for user %q", s.user)))
	}
	return nil
}

func (s *Session) scram() error {
	client, err := scram.SHA256.NewClient(s.user, s.cfg.Password, "")
	if err != nil {
		return err
	}
	keys, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(s.secret), Iters: scramRounds})
	if err != nil {
		return err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return keys, nil })
	if err != nil {
		return err
	}
	s.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramName}})
	return s.converse(server.NewConversation())
}

func (s *Session) converse(conv *scram.ServerConversation) error {
	if err := s.setAuth(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	msg, err := s.be.Receive()
	if err != nil {
		return err
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return fmt.Errorf("unexpected message %T", msg)
	}
	answer, err := conv.Step(string(first.Data))
	if err != nil {
		return err
	}
	s.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := s.setAuth(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if msg, err = s.be.Receive(); err != nil {
		return err
	}
	last, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return fmt.Errorf("unexpected message %T", msg)
	}
	if answer, err = conv.Step(string(last.Data)); err != nil {
		return err
	}
	s.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func (s *Session) setAuth(kind uint32) error {
	if err := s.be.Flush(); err != nil {
		return err
	}
	return s.be.SetAuthType(kind)
}
