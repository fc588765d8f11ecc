package deployer

import "time"

// Plan describes an installation of one user.
type Plan struct {
	// Customer is the name of the manifest part.
	Customer string
	Zones    []string
	// Entries is the number of entry instances, spread over the zones.
	Entries int
	// Groups are names of database groups, each with one server per zone.
	Groups []string
	// ConnectionLimit is the limit of each backend server.
	ConnectionLimit int
	// ZoneDelay is the one-way delay between two zones.
	ZoneDelay time.Duration
	// ClientDelay is the one-way delay between clients and instances.
	ClientDelay time.Duration
	// OpenDelay is the time to open a server connection.
	OpenDelay time.Duration
	// ApplyDelay is the age at which replicas apply records.
	ApplyDelay time.Duration
	// MaxAge is the age that reads of table catalogue accept.
	MaxAge time.Duration
	// TLS secures callers, peers and administration.
	TLS bool
	// Routing and Distribution select baselines; empty means the
	// product.
	Routing, Distribution string
}

// Cooperative returns the sizes of the cooperative.
func Cooperative() Plan {
	return Plan{
		Customer: "cooperative", Zones: []string{"taiwan-1", "taiwan-2", "taiwan-3"}, Entries: 8,
		Groups: []string{"volumes", "catalogue", "proofing"}, ConnectionLimit: 20,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, OpenDelay: 10 * time.Millisecond,
		ApplyDelay: 50 * time.Millisecond, MaxAge: 5 * time.Minute,
	}
}

// Council returns the sizes of the council unit.
func Council() Plan {
	return Plan{
		Customer: "council", Zones: []string{"selangor-1", "selangor-2", "selangor-3"}, Entries: 8,
		Groups: []string{"booking", "field", "payment"}, ConnectionLimit: 40,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, OpenDelay: 10 * time.Millisecond,
		ApplyDelay: 50 * time.Millisecond, MaxAge: 5 * time.Minute,
	}
}

// WithEntries returns a copy with n entry instances.
func (p Plan) WithEntries(n int) Plan {
	p.Entries = n
	return p
}

// WithGroups returns a copy with the given groups.
func (p Plan) WithGroups(names ...string) Plan {
	p.Groups = names
	return p
}

// WithRouting returns a copy with the given routing baseline.
func (p Plan) WithRouting(routing string) Plan {
	p.Routing = routing
	return p
}

// WithApplyDelay returns a copy with replicas that are d behind.
func (p Plan) WithApplyDelay(d time.Duration) Plan {
	p.ApplyDelay = d
	return p
}

// WithMaxAge returns a copy in which reads of table catalogue accept age d.
func (p Plan) WithMaxAge(d time.Duration) Plan {
	p.MaxAge = d
	return p
}
