package loader

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
)

// Target names the entry instances or backend servers that callers connect to,
// and how they connect.
type Target struct {
	// Addresses are "host:port".
	Addresses []string
	// LocalIP is the source address of connections; empty lets the system
	// choose.
	LocalIP string
	// User, Password and Database are the login.
	User     string
	Password string
	Database string
	// TLS is the client configuration; the host of the address becomes the
	// server name that is verified. Nil means no TLS.
	// TLS verifies the certificate of the address; nil means no TLS.
	TLS *tls.Config
	// ConnectTimeout limits one connection attempt.
	ConnectTimeout time.Duration
	// SimpleProtocol selects the simple query protocol instead of prepared
	// statements.
	SimpleProtocol bool
}

// connect opens a connection to the given address.
func (t Target) connect(ctx context.Context, address string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + address + "/" + t.Database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.User = t.User
	cfg.Password = t.Password
	if t.TLS != nil {
		cfg.TLSConfig = t.TLS.Clone()
		cfg.TLSConfig.ServerName = cfg.Host
	}
	cfg.Fallbacks = nil
	cfg.ConnectTimeout = t.ConnectTimeout
	if t.SimpleProtocol {
		cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	}
	dialer := &net.Dialer{Timeout: t.ConnectTimeout}
	if t.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(t.LocalIP)}
	}
	cfg.DialFunc = dialer.DialContext
	ctx, cancel := context.WithTimeout(ctx, t.ConnectTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

// otherAddress returns a random address. If there are several, it almost
// certainly differs from except.
func (t Target) otherAddress(rnd *rand.Rand, except string) string {
	for range 8 {
		if a := t.Addresses[rnd.IntN(len(t.Addresses))]; a != except {
			return a
		}
	}
	return t.Addresses[0]
}
