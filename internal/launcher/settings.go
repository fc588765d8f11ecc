package launcher

import "marigoldhub.example/hub/internal/checker"

// Settings is the content of marigold-entry's settings file. The TOML keys are
// the interface for operators.
type Settings struct {
	// Instance is the unique name of this instance.
	Instance string `toml:"instance"`
	// Zone is the availability zone of this instance.
	Zone string `toml:"zone"`
	// IP is the source IP number of outgoing connections.
	IP string `toml:"ip"`
	// MemoryMB is the memory that the process may take, in MiB.
	MemoryMB int `toml:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may use.
	MaxFDs int `toml:"max_fds"`

	Callers    CallerSettings     `toml:"callers"`
	Servers    ServerSettings     `toml:"servers"`
	Peers      PeerSettings       `toml:"peers"`
	Admin      AdminSettings      `toml:"admin"`
	Store      StoreSettings      `toml:"store"`
	Platform   PlatformSettings   `toml:"platform"`
	Owners     OwnerSettings      `toml:"owners"`
	Quotas     QuotaSettings      `toml:"quotas"`
	Log        LogSettings        `toml:"log"`
	Timeline   TimelineSettings   `toml:"timeline"`
	Experiment ExperimentSettings `toml:"experiment"`
}

// TLSFiles names a certificate, its key and the CA certificates that the other
// side's certificate is verified with. If all names are empty, TLS is off.
type TLSFiles struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// IsZero reports whether TLS is off.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// CallerSettings configures the listener for callers.
type CallerSettings struct {
	// Listen is an IP number and a port, as all addresses in these settings.
	Listen string `toml:"listen"`
	// TLS is the certificate that callers see.
	TLS TLSFiles `toml:"tls"`
	// TokenKeyFile holds the keys of session tokens, one in base64 per
	// line; new tokens are signed with the first.
	TokenKeyFile string `toml:"token_key_file"`
	// DrainLimit is how long a graceful shutdown waits for open transactions.
	DrainLimit checker.Duration `toml:"drain_limit"`
	// BalancerDelay is how long a graceful shutdown goes on accepting new
	// connections after readiness became false, until the balancer has seen it.
	BalancerDelay checker.Duration `toml:"balancer_delay"`
	// MaxMessageBytes bounds the size of one protocol message of a caller.
	MaxMessageBytes int `toml:"max_message_bytes"`
	// MaxUnauthenticated bounds the number of connections that have not
	// authenticated yet.
	MaxUnauthenticated int `toml:"max_unauthenticated"`
}

// ServerSettings configures the connections to backend servers.
type ServerSettings struct {
	// TLS is used for groups whose manifest sets server_tls. The certificate
	// and its key may be left out.
	TLS TLSFiles `toml:"tls"`
}

// PeerSettings configures the connections between entry instances.
type PeerSettings struct {
	// Listen is the address that other instances' calls are accepted at.
	Listen string `toml:"listen"`
	// Advertise is the address that other instances use; empty means Listen.
	Advertise string `toml:"advertise"`
	// Seeds are addresses of other instances that heartbeats are always sent to.
	Seeds []string `toml:"seeds"`
	TLS   TLSFiles `toml:"tls"`
}

// AdminSettings configures the administration API and the health checks.
type AdminSettings struct {
	// Listen is the address of the administration API.
	Listen string `toml:"listen"`
	// HealthListen is the address of the health checks, which have no TLS.
	HealthListen string `toml:"health_listen"`
	// TLS must be set unless Listen is a loopback address.
	TLS TLSFiles `toml:"tls"`
}

// StoreSettings configures the access to the platform's key-value store.
type StoreSettings struct {
	// Endpoint is the base URL of the store's JSON gateway; empty means that
	// the instance has no store.
	Endpoint string `toml:"endpoint"`
}

// PlatformSettings configures the access to the platform's list of instances.
type PlatformSettings struct {
	// Endpoint is the base URL of the instance list; empty means that the list
	// is not used.
	Endpoint string `toml:"endpoint"`
}

// OwnerSettings names the trust anchor of the manifests.
type OwnerSettings struct {
	// GenesisFile holds the co-owners' first keys.
	GenesisFile string `toml:"genesis_file"`
}

// QuotaSettings say by how much a team may exceed its rate: in any span of Window, its
// operations stay below (rate x Window + burst) x (1 + Excess) + Slack. All instances need the
// same.
type QuotaSettings struct {
	Window checker.Duration `toml:"window,omitempty"`
	Excess float64          `toml:"excess,omitempty"`
	// Slack is a number of operations.
	Slack float64 `toml:"slack,omitempty"`
}

// LogSettings configures the log, which goes to standard error.
type LogSettings struct {
	// Level is one of error, warning, info, debug.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// TimelineSettings configures the ring buffer of the instance's events.
type TimelineSettings struct {
	// Events is the number of events that are kept.
	Events int `toml:"events"`
}

// ExperimentSettings selects the baselines that measurements compare with.
// Settings for production leave it out.
type ExperimentSettings struct {
	// Routing is session, all_primary or ignore_session; empty means session.
	Routing string `toml:"routing"`
	// Distribution is zone_watcher or every_instance_watches; empty means
	// zone_watcher.
	Distribution string `toml:"distribution"`
}
