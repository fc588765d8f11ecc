package keyer

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/go-faster/errors"
)

// TLSFiles holds the paths of PEM files. Certificate and Key are both set or
// both empty.
type TLSFiles struct {
	// Certificate holds the certificate chain.
	Certificate string
	// Key holds the private key; the file is a secret.
	Key string
	// CA holds the certificates that verify the other side's certificate. It
	// may be empty if the other side presents none.
	CA string
}

// TLS provides TLS configurations from files. A configuration holds the content
// of the files when it was requested, so callers request one per connection.
type TLS struct {
	*watcher[keyMaterial]
}

type keyMaterial struct {
	certificates []tls.Certificate
	ca           *x509.CertPool
}

// NewTLS loads the files and watches them for changes.
func NewTLS(cfg Config, files TLSFiles) (*TLS, error) {
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errors.New("TLS certificate and key must be given together")
	}
	var paths []string
	for _, path := range []string{files.Certificate, files.Key, files.CA} {
		if path != "" {
			paths = append(paths, path)
		}
	}
	w, err := newWatcher(cfg, paths, func() (keyMaterial, error) { return loadKeyMaterial(files) })
	if err != nil {
		return nil, err
	}
	return &TLS{w}, nil
}

func loadKeyMaterial(files TLSFiles) (keyMaterial, error) {
	var m keyMaterial
	if files.Certificate != "" {
		certificate, err := loadCertificate(files)
		if err != nil {
			return m, err
		}
		m.certificates = []tls.Certificate{certificate}
	}
	if files.CA != "" {
		pem, err := readFile(files.CA, false)
		if err != nil {
			return m, errors.Wrap(err, "read CA file")
		}
		m.ca = x509.NewCertPool()
		if !m.ca.AppendCertsFromPEM(pem) {
			return m, errors.Errorf("CA file %s holds no certificate", files.CA)
		}
	}
	return m, nil
}

func loadCertificate(files TLSFiles) (tls.Certificate, error) {
	certificate, err := readFile(files.Certificate, false)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "read certificate file")
	}
	key, err := readSecret(files.Key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "read key file")
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "certificate %s and key %s", files.Certificate, files.Key)
	}
	return pair, nil
}

// Caller returns the configuration for connections of callers and operators.
func (t *TLS) Caller() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: t.get().certificates}
}

// Peer returns the configuration for both sides of a connection between
// instances: each side must present a certificate of the CA.
func (t *TLS) Peer() *tls.Config {
	m := t.get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: m.certificates,
		RootCAs:      m.ca,
		ClientCAs:    m.ca,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// Backend returns the configuration for connections to backend servers.
func (t *TLS) Backend() *tls.Config {
	m := t.get()
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: m.certificates, RootCAs: m.ca}
}
