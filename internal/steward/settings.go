package steward

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

const defaultTimeout = 15 * time.Second

// Settings is the content of marigoldctl's settings file.
type Settings struct {
	// Operator is recorded with proposals, for information only.
	Operator string `toml:"operator"`
	// Timeout bounds a command. The default is 15 s.
	Timeout checker.Duration `toml:"timeout"`
	Store   StoreSettings    `toml:"store"`
	// Genesis are the co-owners' first keys, as in the settings of instances.
	Genesis []approver.Owner `toml:"genesis"`
	// Administration holds the TLS files for the instances' administration API.
	Administration TLSFiles   `toml:"administration"`
	Instances      []Instance `toml:"instance"`
}

// StoreSettings describe how to reach the store.
type StoreSettings struct {
	// Endpoints are base URLs, such as "https://127.9.1.1:2379".
	Endpoints []string `toml:"endpoints"`
	// LocalIP is the source address of connections; empty lets the system
	// choose.
	LocalIP string   `toml:"local_ip"`
	TLS     TLSFiles `toml:"tls"`
}

// TLSFiles are PEM files. The certificate and key authenticate this tool.
type TLSFiles struct {
	CAFile          string `toml:"ca_file"`
	CertificateFile string `toml:"certificate_file"`
	KeyFile         string `toml:"key_file"`
}

// Instance is one entry instance.
type Instance struct {
	Name string `toml:"name"`
	// URL is the base URL of the administration API.
	URL string `toml:"url"`
}

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	s, r := checker.DecodeWithReport[Settings](file, data)
	if !r.HasSyntaxError() {
		s.check(r)
	}
	if s.Timeout <= 0 {
		s.Timeout = checker.Duration(defaultTimeout)
	}
	return s, r.Findings().Err()
}

func (s Settings) check(r *checker.Report) {
	r.Require("operator")
	if r.Require("store.endpoints") && len(s.Store.Endpoints) == 0 {
		r.Add("store.endpoints", "must name at least one endpoint")
	}
	for _, endpoint := range s.Store.Endpoints {
		checkURL(r, "store.endpoints", endpoint)
	}
	if s.Store.LocalIP != "" {
		if _, err := netip.ParseAddr(s.Store.LocalIP); err != nil {
			r.Add("store.local_ip", "must be an IP number")
		}
	}
	approver.CheckOwnerList(r, "genesis", s.Genesis)
	for i, instance := range s.Instances {
		key := fmt.Sprintf("instance[%d]", i)
		r.Require(key + ".name")
		if r.Require(key + ".url") {
			checkURL(r, key+".url", instance.URL)
		}
	}
}

func checkURL(r *checker.Report, key, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Path != "" {
		r.Add(key, "%q must have the form https://host:port", text)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		r.Add(key, "%q must name an IP number and a port", text)
	}
}

// config returns the TLS configuration, or nil when no file is set.
func (f TLSFiles) config() (*tls.Config, error) {
	if f == (TLSFiles{}) {
		return nil, nil
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.CAFile != "" {
		pem, err := os.ReadFile(f.CAFile)
		if err != nil {
			return nil, err
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", f.CAFile)
		}
	}
	if f.CertificateFile != "" {
		pair, err := tls.LoadX509KeyPair(f.CertificateFile, f.KeyFile)
		if err != nil {
			return nil, err
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return cfg, nil
}
