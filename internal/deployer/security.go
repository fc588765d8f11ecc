package deployer

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/launcher"
)

// operatorName is the name of the operator's certificate and of its files.
const operatorName = "operator"

// CAFile returns the name of the file with the CA certificate.
func (d *Deployment) CAFile() string { return d.ca.caFile }

// OperatorFiles returns the names of the operator's TLS files.
func (d *Deployment) OperatorFiles() launcher.TLSFiles { return d.ca.files(operatorName) }

// CallerTLS returns the TLS configuration of a caller that verifies the
// certificates of entry instances.
func (d *Deployment) CallerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: d.ca.certPool()}
}

// ReissueEntryCertificate replaces the certificate and key files of entry
// instance i.
func (d *Deployment) ReissueEntryCertificate(i int) error {
	s, err := d.entrySettings(i)
	if err != nil {
		return err
	}
	_, err = d.issueEntryCertificate(i, s)
	return err
}

func (d *Deployment) issueEntryCertificate(i int, s launcher.Settings) (launcher.TLSFiles, error) {
	return d.ca.issue(s.Instance, s.IP, d.addresses.ip(d.entryZone(i), octetEntryPublic, i+1))
}

// addEntryTLS adds the TLS files to the settings of entry instance i. It issues
// the certificate if there is none yet.
func (d *Deployment) addEntryTLS(i int, s *launcher.Settings) error {
	files := d.ca.files(s.Instance)
	if _, err := os.Stat(files.CertFile); err != nil {
		if files, err = d.issueEntryCertificate(i, *s); err != nil {
			return err
		}
	}
	s.Callers.TLS, s.Peers.TLS, s.Admin.TLS = files, files, files
	return nil
}

// adminClient returns the HTTP client for the administration APIs.
func (d *Deployment) adminClient() (*http.Client, error) {
	if !d.Plan.TLS {
		return controlClient, nil
	}
	files := d.OperatorFiles()
	if _, err := os.Stat(files.CertFile); err != nil {
		if files, err = d.ca.issue(operatorName); err != nil {
			return nil, err
		}
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load operator certificate")
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: d.ca.certPool(), Certificates: []tls.Certificate{certificate},
	}
	return &http.Client{Timeout: controlClient.Timeout, Transport: &http.Transport{TLSClientConfig: cfg}}, nil
}

func (d *Deployment) adminScheme() string {
	if d.Plan.TLS {
		return "https://"
	}
	return "http://"
}

// files returns the names of a certificate's files.
func (a *certificateAuthority) files(name string) launcher.TLSFiles {
	return launcher.TLSFiles{
		CertFile: filepath.Join(a.dir, name+".pem"),
		KeyFile:  filepath.Join(a.dir, name+".key"),
		CAFile:   a.caFile,
	}
}

func (a *certificateAuthority) certPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}
