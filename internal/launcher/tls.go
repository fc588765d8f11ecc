package launcher

import (
	"crypto/tls"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/keyer"
)

// tlsMaterial holds the certificates and keys of an instance, which are read
// again when their files change. A nil field means TCP without TLS; for
// servers it means TLS with the system's CA certificates and no client
// certificate.
type tlsMaterial struct {
	callers, peers, admin, servers *keyer.TLS
}

func loadTLS(s Settings, clock clockwork.Clock, log logrus.FieldLogger) (tlsMaterial, error) {
	var out tlsMaterial
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

// reloadingConfig returns the configuration of a TLS server that takes the
// current certificates for each new connection.
func reloadingConfig(current func() *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return current(), nil },
	}
}

func (s tlsMaterial) callerTLS() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return reloadingConfig(s.callers.Caller)
}

func (s tlsMaterial) adminTLS() *tls.Config {
	if s.admin == nil {
		return nil
	}
	return reloadingConfig(s.admin.Peer)
}

func (s tlsMaterial) peerTLS() func() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Peer
}

func (s tlsMaterial) serverTLS() func() *tls.Config {
	if s.servers == nil {
		return func() *tls.Config { return &tls.Config{MinVersion: tls.VersionTLS12} }
	}
	return s.servers.Backend
}
