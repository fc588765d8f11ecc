// Package keyertest creates certificate authorities and certificates for tests.
package keyertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/keyer"
)

const validity = 24 * time.Hour

// CA is a certificate authority for one test.
type CA struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewCA returns a new authority that writes its files to a temporary directory
// of the test.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key := newKey(t)
	template := newTemplate("test CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	ca := &CA{dir: t.TempDir(), certificate: certificate, key: key}
	writePEM(t, ca.path("ca.pem"), "CERTIFICATE", der, 0o644)
	return ca
}

// Issue writes a certificate for the IP addresses, valid for clients and
// servers. A second call with the same name replaces the files.
func (ca *CA) Issue(t testing.TB, name string, ips ...net.IP) keyer.TLSFiles {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := keyer.TLSFiles{
		Certificate: ca.path(name + ".pem"),
		Key:         ca.path(name + ".key"),
		CA:          ca.path("ca.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der, 0o644)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER, 0o600)
	return files
}

func (ca *CA) path(name string) string { return filepath.Join(ca.dir, name) }

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

func writePEM(t testing.TB, path, kind string, der []byte, mode os.FileMode) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, mode); err != nil {
		t.Fatal(err)
	}
}
