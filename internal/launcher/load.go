package launcher

import (
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/distributor"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/router"
)

// Defaults of settings that may be left out.
const (
	defaultDrainLimit      = 30 * time.Second
	defaultBalancerDelay   = time.Second
	defaultTimelineEvents  = 2048
	defaultMaxMessageBytes = 16 << 20
	// defaultMemoryMB suffices for ten batches of the largest size at the same time and
	// some thousand sessions.
	defaultMemoryMB = 8 << 10
	// defaultMaxFDs suffices for the 5,000 connections of a caller with the highest limit
	// of the documented installations, twice.
	defaultMaxFDs = 10_600
)

// Lowest settings with which an instance works.
const (
	minMemoryMB = 64
	minFDs      = 400
)

// Defaults of the quotas: the figures for which package allocator divides the budget, and with
// which it was measured.
const (
	defaultQuotaWindow = 5 * time.Second
	defaultQuotaExcess = 0.1
	defaultQuotaSlack  = 20.0
)

// LoadSettings reads and checks a settings file and fills in the defaults. The
// error is checker.Findings when the file could be read but has mistakes.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, runtimeError{err}
	}
	settings, report := checker.DecodeWithReport[Settings](file, data)
	if !report.HasSyntaxError() {
		checkSettings(report, settings)
	}
	return settings.withDefaults(), report.Findings().Err()
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.MemoryMB, defaultMemoryMB)
	setDefault(&s.MaxFDs, defaultMaxFDs)
	setDefault(&s.Callers.DrainLimit, checker.Duration(defaultDrainLimit))
	setDefault(&s.Callers.BalancerDelay, checker.Duration(defaultBalancerDelay))
	setDefault(&s.Callers.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&s.Callers.MaxUnauthenticated, gatekeeper.DefaultMaxUnauthenticated)
	setDefault(&s.Peers.Advertise, s.Peers.Listen)
	setDefault(&s.Quotas.Window, checker.Duration(defaultQuotaWindow))
	setDefault(&s.Quotas.Excess, defaultQuotaExcess)
	setDefault(&s.Quotas.Slack, defaultQuotaSlack)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, "text")
	setDefault(&s.Timeline.Events, defaultTimelineEvents)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func checkSettings(r *checker.Report, s Settings) {
	for _, key := range []string{"instance", "zone", "ip", "callers.listen", "peers.listen", "admin.listen", "admin.health_listen", "owners.genesis_file"} {
		r.Require(key)
	}
	if s.IP != "" {
		if _, err := netip.ParseAddr(s.IP); err != nil {
			r.Add("ip", "must be an IP number")
		}
	}
	checkAddress(r, "callers.listen", s.Callers.Listen)
	checkAddress(r, "peers.listen", s.Peers.Listen)
	checkAddress(r, "peers.advertise", s.Peers.Advertise)
	checkAddress(r, "admin.listen", s.Admin.Listen)
	checkAddress(r, "admin.health_listen", s.Admin.HealthListen)
	for _, seed := range s.Peers.Seeds {
		checkAddress(r, "peers.seeds", seed)
	}
	checkTLSFiles(r, "callers.tls", s.Callers.TLS)
	checkTLSFiles(r, "peers.tls", s.Peers.TLS)
	checkTLSFiles(r, "admin.tls", s.Admin.TLS)
	checkServerTLS(r, s.Servers.TLS)
	if s.Admin.TLS.IsZero() && !isLoopback(s.Admin.Listen) {
		r.Add("admin.tls", "must be set, because admin.listen is not a loopback address")
	}
	checkEndpoint(r, "store.endpoint", s.Store.Endpoint)
	checkEndpoint(r, "platform.endpoint", s.Platform.Endpoint)
	checkChoice(r, "log.level", s.Log.Level, "error", "warning", "info", "debug")
	checkChoice(r, "log.format", s.Log.Format, "text", "json")
	checkChoice(r, "experiment.distribution", s.Experiment.Distribution,
		string(distributor.ZoneWatcher), string(distributor.EveryInstanceWatches))
	if _, err := router.ParsePolicy(s.Experiment.Routing); err != nil {
		r.Add("experiment.routing", "%v", err)
	}
	checkRange(r, "memory_mb", s.MemoryMB, minMemoryMB, 1<<20)
	checkRange(r, "max_fds", s.MaxFDs, minFDs, 1<<20)
	checkRange(r, "timeline.events", s.Timeline.Events, 1, 1<<20)
	checkRange(r, "callers.max_message_bytes", s.Callers.MaxMessageBytes, 1<<10, 1<<30)
	checkRange(r, "callers.max_unauthenticated", s.Callers.MaxUnauthenticated, 1, 1<<16)
	checkRange(r, "callers.drain_limit", time.Duration(s.Callers.DrainLimit), time.Millisecond, time.Hour)
	// Below these figures the refill that is on its way between the instances does not fit
	// into the budget, and teams get less than their rate.
	checkRange(r, "quotas.window", time.Duration(s.Quotas.Window), time.Second, time.Minute)
	checkRange(r, "quotas.excess", s.Quotas.Excess, 0.01, 1)
	checkRange(r, "quotas.slack", s.Quotas.Slack, 1, 10_000)
	checkRange(r, "callers.balancer_delay", time.Duration(s.Callers.BalancerDelay), time.Millisecond, time.Minute)
}

func checkAddress(r *checker.Report, key, address string) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		r.Add(key, "must be an IP number and a port, not %q", address)
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}

func checkTLSFiles(r *checker.Report, key string, f TLSFiles) {
	if f.IsZero() {
		return
	}
	for name, value := range map[string]string{"cert_file": f.CertFile, "key_file": f.KeyFile, "ca_file": f.CAFile} {
		if value == "" {
			r.Add(key+"."+name, "must be set when TLS is used")
		}
	}
}

// checkServerTLS accepts a CA file without a certificate, because a backend
// server need not ask its client for one.
func checkServerTLS(r *checker.Report, f TLSFiles) {
	if (f.CertFile == "") != (f.KeyFile == "") {
		r.Add("servers.tls", "cert_file and key_file must be set together")
	}
}

func checkEndpoint(r *checker.Report, key, endpoint string) {
	if endpoint == "" {
		return
	}
	u, err := url.Parse(endpoint)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		r.Add(key, "must be an http or https URL")
	}
}

func checkChoice(r *checker.Report, key, value string, choices ...string) {
	if value == "" {
		return
	}
	for _, c := range choices {
		if value == c {
			return
		}
	}
	r.Add(key, "must be one of %q", choices)
}

// checkRange checks the value of a key if the file contains it.
func checkRange[T int | float64 | time.Duration](r *checker.Report, key string, value, low, high T) {
	if r.HasValue(key) && !(value >= low && value <= high) {
		r.Add(key, "must be from %v to %v", low, high)
	}
}
