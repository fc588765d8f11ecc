package informer

import "time"

// Reads says how current the reads of a route must be.
type Reads int

// Kinds of routes.
const (
	// PrimaryReads shows every acknowledged commit.
	PrimaryReads Reads = iota
	// BoundedReads shows commits that are older than the route's staleness.
	BoundedReads
	// SessionReads is BoundedReads and shows the session's own commits.
	SessionReads
)

// String returns the name that logs and metrics use.
func (r Reads) String() string { return [...]string{"primary", "bounded", "session"}[r] }

// Route leads callers of a database to a service.
type Route struct {
	Name string
	// Database is the name that callers connect to.
	Database string
	Service  string
	Reads    Reads
	// MaxStaleness is the age from which a commit must show on a read.
	MaxStaleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// Objective is the time in which a whole operation should be answered.
	Objective time.Duration
	// Priority orders waiting requests; 0 goes first.
	Priority int
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// MaxConnections limits the connections to one server from all instances.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have a commit before
	// it is acknowledged.
	SyncReplicas int
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version int64
	// Routes are keyed by database.
	Routes   map[string]Route
	Services map[string]Service
	// IdleInTransaction is how long a transaction may rest; 0 means no limit.
	IdleInTransaction time.Duration
	// Raw is the encoded form, as peers pass it on.
	Raw []byte
}
