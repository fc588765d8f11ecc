package deployer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/deployer/deployertest"
)

func tlsPlan() deployer.Plan {
	plan := deployer.Council().WithGroups("booking").WithEntries(2)
	plan.TLS = true
	return plan
}

// connect opens a caller connection; without cfg it does not ask for TLS.
func connect(address string, cfg *tls.Config) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.ParseConfig("postgres://" + address + "/booking?sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.User, c.Password = deployer.CallerName, deployer.CallerPassword
	if cfg != nil {
		cfg = cfg.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(address)
		c.TLSConfig = cfg
	}
	return pgx.ConnectConfig(ctx, c)
}

// Guards against any of the three ports serving without the TLS that the
// deployment requires, and against certificates that only a restart renews.
func TestTLSInstallation(t *testing.T) {
	d := deployertest.Start(t, tlsPlan())
	t.Run("caller with TLS", func(t *testing.T) { checkCaller(t, d) })
	t.Run("caller without TLS", func(t *testing.T) {
		_, err := connect(d.Entries[0].Address, nil)
		var pgErr *pgconn.PgError
		if !errors.As(err, &pgErr) || pgErr.Code != "28000" {
			t.Errorf("got %v, want 28000", err)
		}
	})
	t.Run("caller that trusts another authority", func(t *testing.T) {
		if c, err := connect(d.Entries[0].Address, &tls.Config{}); err == nil {
			_ = c.Close(context.Background())
			t.Error("certificate of an unknown authority accepted")
		}
	})
	t.Run("peers", func(t *testing.T) { checkMembers(t, d) })
	t.Run("peer without certificate", func(t *testing.T) { checkNoCertificate(t, d, d.Entries[0].PeerAddress) })
	t.Run("operator without certificate", func(t *testing.T) {
		checkNoCertificate(t, d, strings.TrimPrefix(d.Entries[0].AdminURL, "https://"))
	})
	t.Run("operator without TLS", func(t *testing.T) {
		resp, err := http.Get("http" + strings.TrimPrefix(d.Entries[0].AdminURL, "https") + "/v1/status")
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if body, _ := io.ReadAll(resp.Body); resp.StatusCode == http.StatusOK {
			t.Errorf("status served in clear text: %s", body)
		}
	})
	t.Run("replaced certificate", func(t *testing.T) { checkReplacement(t, d) })
}

func checkCaller(t *testing.T, d *deployer.Deployment) {
	c, err := connect(d.Entries[0].Address, d.CallerTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, ok := c.PgConn().Conn().(*tls.Conn); !ok {
		t.Error("connection has no TLS")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, sql := range []string{
		"create table if not exists tls_check (id int8 primary key, note text)",
		"insert into tls_check (id, note) values (1, 'a')",
	} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	var note string
	if err := c.QueryRow(ctx, "select note from tls_check where id = 1").Scan(&note); err != nil || note != "a" {
		t.Errorf("read back %q, %v", note, err)
	}
}

// checkMembers expects that the instances see each other, which requires mutual
// TLS.
func checkMembers(t *testing.T, d *deployer.Deployment) {
	deadline := time.Now().Add(5 * time.Second)
	for {
		s, err := d.Entries[0].Status()
		if err == nil && len(s.Members) == len(d.Entries) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("members %v, %v", s.Members, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkNoCertificate expects that a client without a certificate receives no
// byte. With TLS 1.3 the client learns of the refusal at its first read.
func checkNoCertificate(t *testing.T, d *deployer.Deployment, address string) {
	cfg := d.CallerTLS()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", address, cfg)
	if err != nil {
		t.Fatalf("the handshake must fail on the server's side only: %v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
	n, err := conn.Read(make([]byte, 1))
	if n > 0 || err == nil || !strings.Contains(err.Error(), "certificate required") {
		t.Errorf("read %d bytes, %v; want the alert \"certificate required\"", n, err)
	}
}

// serial returns the serial number of the certificate that a port presents.
func serial(t *testing.T, d *deployer.Deployment, address string) string {
	t.Helper()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", address, d.CallerTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func callerSerial(t *testing.T, c *pgx.Conn) string {
	t.Helper()
	return c.PgConn().Conn().(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func checkReplacement(t *testing.T, d *deployer.Deployment) {
	e := d.Entries[0]
	admin := strings.TrimPrefix(e.AdminURL, "https://")
	old, err := connect(e.Address, d.CallerTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = old.Close(context.Background()) }()
	before := callerSerial(t, old)
	if err := d.ReissueEntryCertificate(0); err != nil {
		t.Fatal(err)
	}
	ports := map[string]func() string{
		"callers": func() string {
			c, err := connect(e.Address, d.CallerTLS())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close(context.Background()) }()
			return callerSerial(t, c)
		},
		"peers":          func() string { return serial(t, d, e.PeerAddress) },
		"administration": func() string { return serial(t, d, admin) },
	}
	for name, current := range ports {
		deadline := time.Now().Add(10 * time.Second)
		for current() == before {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the old certificate is still presented", name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if err := old.Ping(context.Background()); err != nil {
		t.Errorf("open connection after the replacement: %v", err)
	}
	if e.IsDone() {
		t.Error("the instance ended")
	}
	checkMembers(t, d)
}
