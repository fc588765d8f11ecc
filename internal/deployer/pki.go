package deployer

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
	"time"

	"marigoldhub.example/hub/internal/launcher"
)

const certificateLifetime = 24 * time.Hour

// certificateAuthority signs the certificates of one deployment.
type certificateAuthority struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	caFile string
}

func newCertificateAuthority(dir string) (*certificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificateTemplate("marigoldhub experiment authority")
	template.IsCA = true
	template.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &certificateAuthority{dir: dir, cert: cert, key: key, caFile: filepath.Join(dir, "ca.pem")}
	return a, writePEM(a.caFile, "CERTIFICATE", der)
}

// issue writes a certificate for the IP numbers and its key, and returns the
// names of the files.
func (a *certificateAuthority) issue(name string, ips ...string) (launcher.TLSFiles, error) {
	files := a.files(name)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	template := certificateTemplate(name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(ip))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	if err := writePEM(files.CertFile, "CERTIFICATE", der); err != nil {
		return files, err
	}
	return files, writePEM(files.KeyFile, "PRIVATE KEY", keyDER)
}

func certificateTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage: x509.KeyUsageDigitalSignature, BasicConstraintsValid: true,
	}
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
