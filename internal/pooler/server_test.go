package pooler

import (
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// scriptedServer speaks enough of the protocol for the tests of this package.
// Queries: "sleep" runs until it is cancelled, "begin" opens a transaction,
// "die" ends the connection, and any other text is answered with itself.
type scriptedServer struct {
	t        testing.TB
	lis      net.Listener
	password string
	// tls is set when the server offers TLS.
	tls *tls.Config
	// limit of client connections; 0 means none.
	limit atomic.Int64
	// frozen servers accept connections and answer nothing.
	frozen atomic.Bool
	// cancelDelay is the time until a cancel connection is closed.
	cancelDelay atomic.Int64

	mu       sync.Mutex
	conns    map[uint32]net.Conn
	cancels  map[uint32]chan struct{}
	nextID   uint32
	opened   int
	mostOpen int
	canceled []uint32
	closed   []string
	startups []map[string]string
	wg       sync.WaitGroup
}

func startServer(t testing.TB, password string) *scriptedServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{t: t, lis: lis, password: password, conns: make(map[uint32]net.Conn), cancels: make(map[uint32]chan struct{})}
	s.wg.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(s.stop)
	return s
}

func (s *scriptedServer) stop() {
	_ = s.lis.Close()
	s.closeConns()
	s.wg.Wait()
}

func (s *scriptedServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *scriptedServer) address() string { return s.lis.Addr().String() }

func (s *scriptedServer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.frozen.Load() {
		s.hold(conn)
		return
	}
	be := pgproto3.NewBackend(conn, conn)
	msg, err := be.ReceiveStartupMessage()
	if _, ok := msg.(*pgproto3.SSLRequest); ok && s.tls != nil {
		_, _ = conn.Write([]byte("S"))
		conn = tls.Server(conn, s.tls)
		be = pgproto3.NewBackend(conn, conn)
		msg, err = be.ReceiveStartupMessage()
	}
	if err != nil {
		return
	}
	if c, ok := msg.(*pgproto3.CancelRequest); ok {
		s.cancel(c)
		return
	}
	if m, ok := msg.(*pgproto3.StartupMessage); ok {
		s.mu.Lock()
		s.startups = append(s.startups, m.Parameters)
		s.mu.Unlock()
	}
	id, interrupted, ok := s.register(conn)
	if !ok {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: stateTooManyClients, Message: "too many connections"})
		_ = be.Flush()
		return
	}
	defer s.unregister(id)
	if !s.authenticate(be) {
		return
	}
	key := binary.BigEndian.AppendUint32(nil, id*7)
	be.Send(&pgproto3.BackendKeyData{ProcessID: id, SecretKey: key})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() == nil {
		s.session(be, interrupted)
	}
}

// hold keeps a connection open without answering until the peer closes it.
func (s *scriptedServer) hold(conn net.Conn) {
	buf := make([]byte, 512)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

func (s *scriptedServer) register(conn net.Conn) (uint32, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := int(s.limit.Load()); limit > 0 && len(s.conns) >= limit {
		return 0, nil, false
	}
	s.nextID++
	s.opened++
	ch := make(chan struct{}, 1)
	s.conns[s.nextID], s.cancels[s.nextID] = conn, ch
	s.mostOpen = max(s.mostOpen, len(s.conns))
	return s.nextID, ch, true
}

func (s *scriptedServer) unregister(id uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
	delete(s.cancels, id)
}

func (s *scriptedServer) cancel(c *pgproto3.CancelRequest) {
	time.Sleep(time.Duration(s.cancelDelay.Load()))
	s.mu.Lock()
	defer s.mu.Unlock()
	ch, ok := s.cancels[c.ProcessID]
	if !ok || binary.BigEndian.Uint32(c.SecretKey) != c.ProcessID*7 {
		return
	}
	s.canceled = append(s.canceled, c.ProcessID)
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *scriptedServer) authenticate(be *pgproto3.Backend) bool {
	if s.password != "" && !s.scram(be) {
		be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
		_ = be.Flush()
		return false
	}
	be.Send(&pgproto3.AuthenticationOk{})
	return true
}

func (s *scriptedServer) scram(be *pgproto3.Backend) bool {
	client, err := scram.SHA256.NewClient("proxy", s.password, "")
	if err != nil {
		return false
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt", Iters: 4096})
	if err != nil {
		return false
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return false
	}
	conv := server.NewConversation()
	be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	_ = be.Flush()
	_ = be.SetAuthType(pgproto3.AuthTypeSASL)
	msg, err := be.Receive()
	if err != nil {
		return false
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return false
	}
	challenge, err := conv.Step(string(first.Data))
	if err != nil {
		return false
	}
	be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	_ = be.Flush()
	_ = be.SetAuthType(pgproto3.AuthTypeSASLContinue)
	msg, err = be.Receive()
	if err != nil {
		return false
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return false
	}
	proof, err := conv.Step(string(final.Data))
	if err != nil || !conv.Valid() {
		return false
	}
	be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return true
}

func (s *scriptedServer) session(be *pgproto3.Backend, interrupted chan struct{}) {
	status := byte('I')
	for {
		msg, err := be.Receive()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.Query:
			tag := msg.String
			switch tag {
			case "sleep":
				<-interrupted
				be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "canceled"})
			case "begin":
				status = 'T'
			case "die":
				return
			default:
				// A cancel request that hits another statement is an error.
				select {
				case <-interrupted:
					be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014", Message: "canceled by a request for another statement"})
				default:
				}
			}
			be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		case *pgproto3.Close:
			s.mu.Lock()
			s.closed = append(s.closed, msg.Name)
			s.mu.Unlock()
			be.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Sync:
			be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		case *pgproto3.Terminate:
			return
		}
		if be.Flush() != nil {
			return
		}
	}
}

// run executes a query on a connection and returns the last error code.
func run(t testing.TB, c Conn, sql string) string {
	t.Helper()
	c.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		t.Fatal(err)
	}
	code, err := drain(c)
	if err != nil {
		t.Fatal(err)
	}
	return code
}

func drain(c Conn) (string, error) {
	code := ""
	for {
		msg, err := c.Receive()
		if err != nil {
			return "", fmt.Errorf("receive: %w", err)
		}
		switch msg := msg.(type) {
		case *pgproto3.ErrorResponse:
			code = msg.Code
		case *pgproto3.ReadyForQuery:
			return code, nil
		}
	}
}
