package launcher

import (
	"crypto/tls"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/keyer"
)

// security holds the TLS material of an instance; a nil member means plain
// TCP.
type security struct {
	callers, peers, admin, servers *keyer.TLS
}

func loadSecurity(s Settings, clock clockwork.Clock, log logrus.FieldLogger) (security, error) {
	var out security
	targets := []struct {
		files TLSFiles
		tls   **keyer.TLS
	}{
		{s.Callers.TLS, &out.callers},
		{s.Peers.TLS, &out.peers},
		{s.Admin.TLS, &out.admin},
		{s.Servers.TLS, &out.servers},
	}
	for _, t := range targets {
		if t.files.IsZero() {
			continue
		}
		loaded, err := keyer.NewTLS(keyer.Config{Clock: clock, Log: log}, keyer.TLSFiles{
			Certificate: t.files.CertFile, Key: t.files.KeyFile, CA: t.files.CAFile,
		})
		if err != nil {
			return out, err
		}
		*t.tls = loaded
	}
	return out, nil
}

// reloading returns a server configuration that reads the newest material for
// each connection.
func reloading(current func() *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return current(), nil },
	}
}

func (s security) callerTLS() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return reloading(s.callers.Caller)
}

func (s security) adminTLS() *tls.Config {
	if s.admin == nil {
		return nil
	}
	return reloading(s.admin.Peer)
}

func (s security) peerTLS() func() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Peer
}

func (s security) serverTLS() func() *tls.Config {
	if s.servers == nil {
		return func() *tls.Config { return &tls.Config{MinVersion: tls.VersionTLS12} }
	}
	return s.servers.Backend
}
