package informer

import "time"

// Reads is the consistency that the reads of a route require.
type Reads int

// Consistencies of reads.
const (
	// PrimaryReads must show every acknowledged commit.
	PrimaryReads Reads = iota
	// BoundedReads must show commits that are older than the route's MaxStaleness.
	BoundedReads
	// SessionReads must show the same, and the session's own commits.
	SessionReads
)

// String returns the name that logs and metrics use.
func (r Reads) String() string { return [...]string{"primary", "bounded", "session"}[r] }

// Route maps a database that callers connect to, to a service.
type Route struct {
	Name string
	// Database is the name that callers connect to.
	Database string
	Service  string
	Reads    Reads
	// MaxStaleness is how old a commit may be that a read does not show: reads show
	// every commit that was acknowledged longer ago.
	MaxStaleness time.Duration
	// StatementTimeout limits the time of one statement.
	StatementTimeout time.Duration
	// Objective is the time in which a statement, or a whole transaction from its
	// begin to the answer to its commit, should be answered.
	Objective time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// Public is true if callers need no key.
	Public bool
}

// Team is a group of callers with common keys and a common quota.
type Team struct {
	Name string
	// Priority orders teams; 0 is served first.
	Priority int
	// RatePerSecond is how many operations the team may begin in a second, over all
	// instances; 0 means no limit.
	RatePerSecond float64
	// Burst is how many operations more it may begin in the time over which the settings
	// count them.
	Burst float64
	// Keys are the digests of the team's keys.
	Keys []KeyDigest
}

// Service is a group of backend servers, a primary and its replicas.
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
	// Teams are keyed by name. They are nil if the configuration does not use teams:
	// callers need no keys then and have no quotas.
	Teams map[string]Team
	// TeamsByKey has the name of the team that holds a key.
	TeamsByKey map[KeyDigest]string
	// IdleInTransaction limits how long a transaction may be idle; 0 means no limit.
	IdleInTransaction time.Duration
	// Raw is the encoded form. It has the digests of keys, not the keys.
	Raw []byte
	// Packed is the compressed form of Raw, which instances exchange.
	Packed []byte
}

// HasQuotas reports whether a team has a limit.
func (c *Configuration) HasQuotas() bool {
	for _, t := range c.Teams {
		if t.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// HasTeams reports whether callers are identified by the keys of teams.
func (c *Configuration) HasTeams() bool { return c.Teams != nil }
