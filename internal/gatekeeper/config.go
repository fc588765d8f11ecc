package gatekeeper

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/relayer"
)

// Config states how connections are accepted. Zero fields take the defaults.
type Config struct {
	// Instance is the name of this entry instance.
	Instance string
	// ServerVersion is reported to callers.
	ServerVersion string
	// AuthTimeout is the time until a connection must be authenticated.
	AuthTimeout time.Duration
	// MaxUnauthenticated bounds the connections that are not authenticated.
	MaxUnauthenticated int
	// MockKey makes the salts that unknown callers see. It is the same at all
	// instances, so that salts do not tell whether a caller exists. Without it
	// the instance makes its own.
	MockKey []byte
	// TLS is used for callers that ask for TLS. Without it TLS is declined.
	TLS *tls.Config
}

// Defaults of Config.
const (
	DefaultServerVersion      = "16.0 (marigoldhub)"
	DefaultAuthTimeout           = 10 * time.Second
	DefaultMaxUnauthenticated = 256
)

// Meter counts what callers do at the door.
type Meter interface {
	// Opened and Closed frame an authenticated connection.
	Opened(caller, group string)
	Closed(caller, group string)
	// Refused counts a refused connection by SQLSTATE. The caller is empty
	// unless it has authenticated.
	Refused(caller, state string)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Opened(string, string)  {}
func (noMeter) Closed(string, string)  {}
func (noMeter) Refused(string, string) {}

// Dependencies are what a Gatekeeper works with.
type Dependencies struct {
	Catalogs checker.CatalogSource
	Relayer  *relayer.Relayer
	// ForwardCancel delivers a cancel request that names another instance. See
	// [InstanceTag].
	ForwardCancel func(ctx context.Context, processID uint32, secret []byte) error
	// Meter counts connections and refusals. It may be nil.
	Meter Meter
	Log   logrus.FieldLogger
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
	return c
}
