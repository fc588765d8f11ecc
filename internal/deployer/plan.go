package deployer

import "time"

// Plan describes a deployment with one manifest part.
type Plan struct {
	// Customer is the name of the manifest part.
	Customer string
	// Zones are the names of the availability zones.
	Zones []string
	// Entries is the number of entry instances, spread over the zones.
	Entries int
	// Groups are the names of the database groups. Each has one server per zone.
	Groups []string
	// ConnectionLimit is the number of connections that a backend server accepts.
	ConnectionLimit int
	// ZoneDelay is the one-way network delay between two zones.
	ZoneDelay time.Duration
	// ClientDelay is the one-way network delay between clients and instances.
	ClientDelay time.Duration
	// OpenDelay is the time that a backend server takes to open a connection.
	OpenDelay time.Duration
	// ApplyDelay is the age at which replicas apply log records.
	ApplyDelay time.Duration
	// MaxAge is the maximum age that reads of table catalogue accept.
	MaxAge time.Duration
	// TLS secures the connections of callers, instances and operators.
	TLS bool
	// Routing and Distribution select the baselines of
	// launcher.ExperimentSettings; empty means the product's own behaviour.
	Routing, Distribution string
}

// Cooperative returns a plan with the sizes of the cooperative's deployment.
func Cooperative() Plan {
	return Plan{
		Customer: "cooperative", Zones: []string{"taiwan-1", "taiwan-2", "taiwan-3"}, Entries: 8,
		Groups: []string{"volumes", "catalogue", "proofing"}, ConnectionLimit: 20,
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond, OpenDelay: 10 * time.Millisecond,
		ApplyDelay: 50 * time.Millisecond, MaxAge: 5 * time.Minute,
	}
}

// Council returns a plan with the sizes of the council unit's deployment.
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

// WithRouting returns a copy with the given routing policy.
func (p Plan) WithRouting(routing string) Plan {
	p.Routing = routing
	return p
}

// WithApplyDelay returns a copy whose replicas apply records d late.
func (p Plan) WithApplyDelay(d time.Duration) Plan {
	p.ApplyDelay = d
	return p
}

// WithMaxAge returns a copy in which reads of table catalogue accept age d.
func (p Plan) WithMaxAge(d time.Duration) Plan {
	p.MaxAge = d
	return p
}
