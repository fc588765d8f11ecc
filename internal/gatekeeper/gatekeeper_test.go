package gatekeeper

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/tokener"
)

type source struct{ c *checker.Catalog }

func (s source) Catalog() *checker.Catalog { return s.c }
func (source) Changed() <-chan struct{}    { return nil }

type noKeys struct{}

func (noKeys) TokenKeys() [][]byte { return nil }

func verifier(password string) string {
	salt := []byte("0123456789abcdef")
	salted, err := pbkdf2.Key(sha256.New, password, salt, 4096, sha256.Size)
	if err != nil {
		panic(err)
	}
	mac := func(text string) []byte {
		h := hmac.New(sha256.New, salted)
		h.Write([]byte(text))
		return h.Sum(nil)
	}
	stored := sha256.Sum256(mac("Client Key"))
	b := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", b(salt), b(stored[:]), b(mac("Server Key")))
}

func start(t *testing.T, cfg Config, forward func(context.Context, uint32, []byte) error) (*Gatekeeper, string) {
	return startAt(t, cfg, forward, func(l net.Listener) net.Listener { return l })
}

// startAt is start with a listener that wrap returns.
func startAt(t *testing.T, cfg Config, forward func(context.Context, uint32, []byte) error, wrap func(net.Listener) net.Listener) (*Gatekeeper, string) {
	catalog := source{checker.NewCatalog(checker.Manifest{
		Groups: []checker.Group{{Name: "g", Database: "db"}, {Name: "h", Database: "other"}},
		Callers: []checker.Caller{
			{Name: "web", Groups: []string{"g"}, ScramVerifier: verifier("secret"), ConnectionLimit: 2},
			{Name: "strict", Groups: []string{"g"}, ScramVerifier: verifier("secret"), ConnectionLimit: 2, TLSRequired: true},
			{Name: "broken", Groups: []string{"g"}, ScramVerifier: "md5abc", ConnectionLimit: 2},
		},
	})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := relayer.New(relayer.Config{}, relayer.Dependencies{
		Catalogs: catalog, Classifier: classifier.New(classifier.Config{}),
		Tokener: tokener.New(noKeys{}, clockwork.NewRealClock()), Log: log,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Instance = "entry-1"
	g := New(cfg, Dependencies{Catalogs: catalog, Relayer: r, ForwardCancel: forward, Log: log}, wrap(l))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if n := g.Expire(ctx); n != 0 {
			t.Errorf("%d sessions left", n)
		}
	})
	return g, l.Addr().String()
}

// connect logs in. The connection stays open until the end of the test, also if the caller
// drops it: a garbage collection closes sockets without a reference.
func connect(t *testing.T, addr, user, password, database, more string) (*pgconn.PgConn, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := pgconn.Connect(ctx, "postgres://"+user+":"+password+"@"+addr+"/"+database+"?"+more)
	t.Cleanup(func() { runtime.KeepAlive(c) })
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return nil, pgErr.Code + " " + strings.ReplaceAll(pgErr.Message, user, "USER")
	}
	return c, fmt.Sprint(err)
}

// Guards against admitting callers without proof of the password, against
// responses that distinguish an unknown caller from a wrong password, and against
// disclosing databases.
func TestLogin(t *testing.T) {
	_, addr := start(t, Config{}, nil)
	const wrong = `28P01 password authentication failed for user "USER"`
	cases := []struct{ name, user, password, database, more, want string }{
		{"accepted", "web", "secret", "db", "", "<nil>"},
		{"wrong password", "web", "wrong", "db", "", wrong},
		{"unknown caller", "nobody", "secret", "db", "", wrong},
		{"unusable verifier", "broken", "secret", "db", "", wrong},
		{"foreign database", "web", "secret", "other", "", `3D000 database "other" does not exist`},
		{"missing database", "web", "secret", "none", "", `3D000 database "none" does not exist`},
		{"TLS required", "strict", "secret", "db", "", "28000 this caller must connect with TLS"},
		{"non-pinning setting", "web", "secret", "db", "&TimeZone=UTC&extra_float_digits=2&application_name=x", "<nil>"},
		{"other setting", "web", "secret", "db", "&search_path=x", "<nil>"},
		{"command line options", "web", "secret", "db", "&options=-c%20a", `0A000 startup parameter "options" is not supported by the proxy`},
		{"replication", "web", "secret", "db", "&replication=true", `0A000 startup parameter "replication" is not supported by the proxy`},
		{"bad token", "web", "secret", "db", "&marigold.session_token=x", "28000 session token is not valid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, got := connect(t, addr, c.user, c.password, c.database, "sslmode=disable"+c.more)
			if got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
			if conn != nil {
				_ = conn.Close(context.Background())
			}
		})
	}
}

// Guards against a caller that exceeds its connection limit, and against closed
// connections that still count.
func TestConnectionLimit(t *testing.T) {
	g, addr := start(t, Config{}, nil)
	a, _ := connect(t, addr, "web", "secret", "db", "sslmode=disable")
	_, _ = connect(t, addr, "web", "secret", "db", "sslmode=disable")
	if _, got := connect(t, addr, "web", "secret", "db", "sslmode=disable"); !strings.HasPrefix(got, "53300") {
		t.Errorf("third connection: %s", got)
	}
	_ = a.Close(context.Background())
	for g.Sessions() > 1 {
		time.Sleep(time.Millisecond)
	}
	if _, got := connect(t, addr, "web", "secret", "db", "sslmode=disable"); got != "<nil>" {
		t.Errorf("after a close: %s", got)
	}
}

// Guards against malformed messages before authentication that are answered,
// keep a connection open or affect other connections.
func TestGarbageStartup(t *testing.T) {
	_, addr := start(t, Config{AuthTimeout: 200 * time.Millisecond}, nil)
	for name, bytes := range map[string]string{
		"zero length":      "\x00\x00\x00\x00",
		"negative length":  "\xff\xff\xff\xff",
		"oversized":        "\x00\x01\x00\x00\x00\x03\x00\x00",
		"http":             "GET / HTTP/1.1\r\n\r\n",
		"unknown version":  "\x00\x00\x00\x09\x00\x02\x00\x00\x00",
		"no parameters":    "\x00\x00\x00\x08\x00\x03\x00\x00",
		"short cancel":     "\x00\x00\x00\x08\x04\xd2\x16\x2e",
		"silence":          "",
		"endless requests": strings.Repeat("\x00\x00\x00\x08\x04\xd2\x16\x30", 10),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(c, bytes)
			if _, err := io.Copy(io.Discard, c); errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
				t.Error("connection was not closed")
			}
		})
	}
	if c, got := connect(t, addr, "web", "secret", "db", "sslmode=disable"); c == nil {
		t.Errorf("next caller: %s", got)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Guards against unauthenticated connections that exhaust the instance.
func TestUnauthenticatedLimit(t *testing.T) {
	_, addr := start(t, Config{MaxUnauthenticated: 1, AuthTimeout: 300 * time.Millisecond}, nil)
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	time.Sleep(50 * time.Millisecond)
	if c, _ := connect(t, addr, "web", "secret", "db", "sslmode=disable"); c != nil {
		t.Error("second unauthenticated connection served")
	}
	time.Sleep(400 * time.Millisecond)
	if c, got := connect(t, addr, "web", "secret", "db", "sslmode=disable"); c == nil {
		t.Errorf("after the time limit: %s", got)
	}
}

// Guards against serving a caller that requested TLS in clear text.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{cert}, PrivateKey: key}}}
	_, addr := start(t, Config{TLS: cfg}, nil)
	c, got := connect(t, addr, "strict", "secret", "db", "sslmode=require")
	if c == nil {
		t.Fatal(got)
	}
	if _, ok := c.Conn().(*tls.Conn); !ok {
		t.Error("connection has no TLS")
	}
}

// Guards against cancel requests that reach the wrong session or instance.
func TestCancelDispatch(t *testing.T) {
	forwarded := make(chan uint32, 4)
	g, addr := start(t, Config{}, func(_ context.Context, id uint32, _ []byte) error {
		forwarded <- id
		return nil
	})
	c, got := connect(t, addr, "web", "secret", "db", "sslmode=disable")
	if c == nil {
		t.Fatal(got)
	}
	if TagOf(c.PID()) != InstanceTag("entry-1") || int32(c.PID()) <= 0 {
		t.Errorf("process id %#x does not name the instance", c.PID())
	}
	if err := g.Cancel(context.Background(), c.PID(), c.SecretKey()); err != nil {
		t.Errorf("own session: %v", err)
	}
	if err := g.Cancel(context.Background(), c.PID(), []byte("none")); !errors.Is(err, ErrUnknownSession) {
		t.Errorf("wrong secret: %v", err)
	}
	foreign := (InstanceTag("entry-1")+1)&tagMask<<sessionBits | 7
	b, err := (&pgproto3.CancelRequest{ProcessID: foreign, SecretKey: []byte("abcd")}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.Copy(conn, bytes.NewReader(b)); err != nil {
		t.Fatal(err)
	}
	if id := <-forwarded; id != foreign {
		t.Errorf("forwarded %#x, want %#x", id, foreign)
	}
}

// Guards against panics on startup messages, and against control characters in
// values that are reported back.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("user\x00web\x00database\x00db\x00\x00"))
	f.Add([]byte("user\x00web\x00marigold.session_token\x00x\x00_pq_.x\x001\x00\x00"))
	f.Add([]byte("user\x00\x00TimeZone\x00UTC\x00options\x00 \x00\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		var m pgproto3.StartupMessage
		if m.Decode(append([]byte{0, 3, 0, 0}, body...)) != nil {
			return
		}
		s, err := parseStartup(&m)
		if err == nil && (s.user == "" || s.database == "" || printable(s.application) != s.application) {
			t.Errorf("accepted %+v", s)
		}
	})
}

// Guards against panics on verifiers and on cancel secrets of any length.
func FuzzCancelKey(f *testing.F) {
	g := &Gatekeeper{cfg: Config{Instance: "entry-1"}, sessions: make(map[uint32]*authenticatedConn)}
	f.Add(uint32(1), []byte("abcd"))
	f.Add(InstanceTag("entry-1")<<sessionBits, []byte{})
	f.Fuzz(func(t *testing.T, id uint32, secret []byte) {
		if err := g.routeCancel(context.Background(), id, secret); !errors.Is(err, ErrUnknownSession) {
			t.Errorf("dispatch: %v", err)
		}
		_, _ = parseVerifier(string(secret))
	})
}
