package checker

// Manifest is the content of one manifest part.
type Manifest struct {
	// Part is the name of the part, equal to the customer's name.
	Part        string       `toml:"part"`
	Groups      []Group      `toml:"group"`
	Reads       []ReadRule   `toml:"read"`
	Callers     []Caller     `toml:"caller"`
	Teams       []Team       `toml:"team"`
	Drains      []Drain      `toml:"drain"`
	Switchovers []Switchover `toml:"switchover"`
}

// Group describes one database group.
type Group struct {
	Name string `toml:"name"`
	// Database is the database name that callers use.
	Database string `toml:"database"`
	// ServerUser and ServerPasswordFile are the credentials of the proxy at
	// the backend servers. The file is read by each instance.
	ServerUser         string `toml:"server_user"`
	ServerPasswordFile string `toml:"server_password_file"`
	// ServerTLS is one of the ServerTLS constants; empty means disable.
	ServerTLS string   `toml:"server_tls"`
	Servers   []Server `toml:"server"`
}

// Values of Group.ServerTLS. A mode that encrypts without verifying the server
// is not offered.
const (
	ServerTLSDisable    = "disable"
	ServerTLSVerifyFull = "verify-full"
)

// UsesServerTLS reports whether connections to the group's servers use TLS. An
// invalid value counts as TLS, so that no mistake leads to an unencrypted
// connection.
func (g Group) UsesServerTLS() bool { return g.ServerTLS != "" && g.ServerTLS != ServerTLSDisable }

// Server describes one backend server. Its role, primary or replica, is never
// configured.
type Server struct {
	Name            string `toml:"name"`
	Address         string `toml:"address"`
	Zone            string `toml:"zone"`
	ConnectionLimit int    `toml:"connection_limit"`
}

// ReadRule allows reads of the tables to return data that is up to MaxAge old.
type ReadRule struct {
	Name   string   `toml:"name"`
	Group  string   `toml:"group"`
	Tables []string `toml:"tables"`
	MaxAge Duration `toml:"max_age"`
}

// Caller describes who may connect, and to which groups.
type Caller struct {
	Name   string   `toml:"name"`
	Groups []string `toml:"groups"`
	// ScramVerifier has PostgreSQL's form
	// "SCRAM-SHA-256$iterations:salt$stored_key:server_key".
	ScramVerifier string `toml:"scram_verifier"`
	// ConnectionLimit bounds the caller's connections at one instance.
	ConnectionLimit int `toml:"connection_limit"`
	// PinnedLimit bounds the server connections that the caller may pin at
	// one instance.
	PinnedLimit int `toml:"pinned_limit"`
	// TLSRequired refuses connections without TLS.
	TLSRequired bool `toml:"tls_required"`
}

// Drain keeps new work away from a backend server.
type Drain struct {
	Group  string `toml:"group"`
	Server string `toml:"server"`
}

// Switchover requests a planned change of primary. It runs once per ID.
type Switchover struct {
	ID    string `toml:"id"`
	Group string `toml:"group"`
	// To is the server that becomes primary.
	To string `toml:"to"`
}
