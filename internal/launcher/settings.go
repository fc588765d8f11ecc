package launcher

import "marigoldhub.example/hub/internal/checker"

// Settings is the content of an entry instance's settings file.
type Settings struct {
	// Instance is the unique name of this instance.
	Instance string `toml:"instance"`
	// Zone is the availability zone of this instance.
	Zone string `toml:"zone"`
	// IP is the IP number that outgoing connections are bound to.
	IP string `toml:"ip"`

	Callers    CallerSettings     `toml:"callers"`
	Servers    ServerSettings     `toml:"servers"`
	Peers      PeerSettings       `toml:"peers"`
	Admin      AdminSettings      `toml:"admin"`
	Store      StoreSettings      `toml:"store"`
	Platform   PlatformSettings   `toml:"platform"`
	Owners     OwnerSettings      `toml:"owners"`
	Log        LogSettings        `toml:"log"`
	Timeline   TimelineSettings   `toml:"timeline"`
	Experiment ExperimentSettings `toml:"experiment"`
}

// TLSFiles names a certificate, its key and the authorities that the other
// side's certificate must come from. Empty names switch TLS off.
type TLSFiles struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
}

// IsZero reports whether TLS is off.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// CallerSettings concerns the listener for callers.
type CallerSettings struct {
	Listen string   `toml:"listen"`
	TLS    TLSFiles `toml:"tls"`
	// TokenKeyFile holds the keys of session tokens, one in base64 per
	// line; the first signs.
	TokenKeyFile string `toml:"token_key_file"`
	// DrainLimit is how long a planned stop waits for transactions.
	DrainLimit checker.Duration `toml:"drain_limit"`
	// BalancerDelay is how long a planned stop waits after readiness went
	// false before it refuses new connections.
	BalancerDelay checker.Duration `toml:"balancer_delay"`
	// MaxMessageBytes bounds one protocol message of a caller.
	MaxMessageBytes int `toml:"max_message_bytes"`
	// MaxUnauthenticated bounds the connections that have not authenticated.
	MaxUnauthenticated int `toml:"max_unauthenticated"`
}

// ServerSettings concerns connections to backend servers.
type ServerSettings struct {
	// TLS is used for groups whose manifest sets server_tls.
	TLS TLSFiles `toml:"tls"`
}

// PeerSettings concerns connections between entry instances.
type PeerSettings struct {
	Listen string `toml:"listen"`
	// Advertise is the address that other instances use; empty means Listen.
	Advertise string   `toml:"advertise"`
	Seeds     []string `toml:"seeds"`
	TLS       TLSFiles `toml:"tls"`
}

// AdminSettings concerns the administration API and the health checks.
type AdminSettings struct {
	Listen       string   `toml:"listen"`
	HealthListen string   `toml:"health_listen"`
	TLS          TLSFiles `toml:"tls"`
}

// StoreSettings concerns the platform's key-value service.
type StoreSettings struct {
	// Endpoint is the base URL of the store's JSON gateway.
	Endpoint string `toml:"endpoint"`
}

// PlatformSettings concerns the platform's list of instances.
type PlatformSettings struct {
	// Endpoint is the base URL of the instance list; empty switches it off.
	Endpoint string `toml:"endpoint"`
}

// OwnerSettings names the trust anchor.
type OwnerSettings struct {
	// GenesisFile holds the first owners envelope.
	GenesisFile string `toml:"genesis_file"`
}

// LogSettings concerns the log.
type LogSettings struct {
	// Level is one of error, warning, info, debug.
	Level string `toml:"level"`
	// Format is text or json.
	Format string `toml:"format"`
}

// TimelineSettings concerns the ring of events.
type TimelineSettings struct {
	// Events is the number of events kept.
	Events int `toml:"events"`
}

// ExperimentSettings selects baselines for measurements. Production settings
// leave it out.
type ExperimentSettings struct {
	// Routing is session, all_primary or ignore_session.
	Routing string `toml:"routing"`
	// Distribution is zone_watcher or every_instance_watches.
	Distribution string `toml:"distribution"`
}
