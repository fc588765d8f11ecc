package relayer_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/relayer"
)

// rawSession is a session without a login, whose caller is a frontend.
type rawSession struct {
	*relayer.Session
	t    *testing.T
	fe   *pgproto3.Frontend
	done chan struct{}
}

func (fx *fixture) newRawSession(t *testing.T) *rawSession {
	t.Helper()
	return fx.startRawSession(t, (*relayer.Session).Run)
}

// startRawSession returns a session that run serves.
func (fx *fixture) startRawSession(t *testing.T, run func(*relayer.Session)) *rawSession {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s, err := fx.relayer.NewSession(relayer.AuthenticatedConn{
		Conn: conn, Backend: pgproto3.NewBackend(conn, conn), Caller: checker.Caller{Name: "team:t", Groups: []string{"g"}, PinnedLimit: 1}, Group: "g",
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rawSession{Session: s, t: t, fe: pgproto3.NewFrontend(client, client), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		run(s)
	}()
	return r
}

func (s *rawSession) send(sql string) {
	s.t.Helper()
	s.fe.Send(&pgproto3.Query{String: sql})
	_ = s.fe.Flush()
}

// answers returns the tags and errors that arrive until the session is ready or has
// ended.
func (s *rawSession) answers() string {
	var got []string
	for {
		msg, err := s.fe.Receive()
		if err != nil {
			return strings.Join(append(got, "closed"), "; ")
		}
		switch m := msg.(type) {
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Severity+" "+m.Code+" "+m.Message)
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(got, "ready "+string(m.TxStatus)), "; ")
		}
	}
}

// Guards against a session that goes on after its access was withdrawn, against a
// transaction that is committed after that, and against the loss of the answer to a
// request that runs.
func TestRevoke(t *testing.T) {
	const withdrawn = "the access of this connection was withdrawn"
	t.Run("idle", func(t *testing.T) {
		fx := newFixture(t)
		s := fx.newRawSession(t)
		s.Revoke()
		if got := s.answers(); got != "FATAL 28000 "+withdrawn+"; closed" {
			t.Error(got)
		}
	})
	t.Run("in a transaction", func(t *testing.T) {
		fx := newFixture(t)
		s := fx.newRawSession(t)
		for _, sql := range []string{"begin", "insert into kv values ('x', '1')"} {
			s.send(sql)
			if got := s.answers(); !strings.HasSuffix(got, "ready T") {
				t.Fatal(got)
			}
		}
		s.Revoke()
		if got := s.answers(); got != "FATAL 28000 transaction was not run: "+withdrawn+"; closed" {
			t.Error(got)
		}
		<-s.done
		if fx.st.row("x") != "" {
			t.Error("the transaction took effect")
		}
	})
	t.Run("while a request runs", func(t *testing.T) {
		fx := newFixture(t)
		s := fx.newRawSession(t)
		running, goOn := make(chan struct{}), make(chan struct{})
		fx.a.setHook(func(when, sql string) bool {
			if when == "before" && strings.HasPrefix(sql, "insert") {
				close(running)
				<-goOn
			}
			return true
		})
		s.send("insert into kv values ('x', '1')")
		<-running
		s.Revoke()
		close(goOn)
		if got := s.answers(); got != "INSERT 0 1; ready I" {
			t.Error(got)
		}
		if got := s.answers(); got != "FATAL 28000 "+withdrawn+"; closed" {
			t.Error(got)
		}
	})
	t.Run("before a request that waits behind one that runs", func(t *testing.T) {
		fx := newFixture(t)
		for range 30 {
			s := fx.newRawSession(t)
			running, goOn := make(chan struct{}), make(chan struct{})
			fx.a.setHook(func(when, sql string) bool {
				if when == "before" && strings.Contains(sql, "'first'") {
					close(running)
					<-goOn
				}
				return true
			})
			s.send("insert into kv values ('first', '1')")
			<-running
			s.send("insert into kv values ('second', '1')")
			time.Sleep(2 * time.Millisecond) // The session reads ahead.
			s.Revoke()
			close(goOn)
			<-s.done
		}
		if n := fx.a.count("'second'"); n > 0 {
			t.Errorf("%d of 30 requests ran", n)
		}
	})
}
