package gatekeeper

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/relayer"
)

// Config configures a [Gatekeeper]. Zero fields take the defaults.
type Config struct {
	// Instance is the name of this entry instance.
	Instance string
	// ServerVersion is the server_version that callers are told.
	ServerVersion string
	// AuthTimeout is the time within which a connection must authenticate.
	AuthTimeout time.Duration
	// MaxUnauthenticated is the maximum number of connections that have not
	// authenticated yet.
	MaxUnauthenticated int
	// MaxConnections is the maximum number of connections, authenticated or not.
	MaxConnections int
	// MockKey is the key from which the SCRAM salts of unknown callers are
	// derived. If all instances have the same key, the salts do not reveal
	// whether a caller exists. If empty, a random key is used.
	MockKey []byte
	// TLS is the configuration for callers that request TLS. If nil, TLS is
	// declined.
	TLS *tls.Config
}

// Defaults of [Config].
const (
	DefaultServerVersion      = "16.0 (marigoldhub)"
	DefaultAuthTimeout        = 10 * time.Second
	DefaultMaxUnauthenticated = 256
	DefaultMaxConnections     = 10_000
)

// Meter counts the connections of callers.
type Meter interface {
	// Opened is called at the start of an authenticated connection, and Closed
	// at its end.
	Opened(caller, group string)
	Closed(caller, group string)
	// Refused is called for each refused connection with the SQLSTATE of the
	// refusal, or "unauthenticated_limit" if too many connections have not
	// authenticated. The caller is empty unless it has authenticated.
	Refused(caller, state string)
}

// noMeter is a Meter that counts nothing.
type noMeter struct{}

func (noMeter) Opened(string, string)  {}
func (noMeter) Closed(string, string)  {}
func (noMeter) Refused(string, string) {}

// Dependencies are the components that a [Gatekeeper] uses.
type Dependencies struct {
	// Catalogs provides the callers and the groups of databases.
	Catalogs checker.CatalogSource
	// Relayer runs the sessions of authenticated callers.
	Relayer *relayer.Relayer
	// ForwardCancel sends a cancel request to the other instances with the tag in
	// the process id, see [TagOf]. It may be nil.
	ForwardCancel func(ctx context.Context, processID uint32, secret []byte) error
	// Budget is the memory that connections of callers share. If it is nil, their memory
	// is not limited.
	Budget *budgeter.Budget
	// Meter counts connections and refusals. It may be nil.
	Meter Meter
	// Log may be nil.
	Log logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	if c.ServerVersion == "" {
		c.ServerVersion = DefaultServerVersion
	}
	if c.AuthTimeout <= 0 {
		c.AuthTimeout = DefaultAuthTimeout
	}
	if c.MaxUnauthenticated <= 0 {
		c.MaxUnauthenticated = DefaultMaxUnauthenticated
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	return c
}
