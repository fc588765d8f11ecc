package router

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/tracker"
)

// Config configures a [Router].
type Config struct {
	// Policy selects which reads may go to replicas.
	Policy Policy
	// Zone is the availability zone of this instance.
	Zone string
}

// Request is a read that is known to be read-only.
type Request struct {
	// Group is the name of the server group.
	Group string
	// Tables are the tables that the read names.
	Tables []string
	// MinPosition is the session's minimum position: the log position that a
	// server must have applied before it may run the read.
	MinPosition tracker.Position
	// HasMinPosition is false while the session has no minimum position. The
	// policy [Session] then selects no replica.
	HasMinPosition bool
	// MinPositionAt is the local monotonic time at which MinPosition was
	// confirmed, or zero if unknown.
	MinPositionAt time.Time
	// Previous is the replica that served the session last, if any.
	Previous string
	// Avoid lists servers that failed to serve this read.
	Avoid []string
}

// Choice is the decision for one read.
type Choice struct {
	// Bounded is set when every table has a read rule.
	Bounded bool
	// MaxAge is the age bound of a bounded read.
	MaxAge time.Duration
	// Replica is the name of the selected replica, empty for the primary.
	Replica string
	// View is the state of Replica on which the decision is based.
	View tracker.ReplicaView
}

// Router selects servers for reads. It is safe for concurrent use if the
// sources given to [New] are.
type Router struct {
	cfg      Config
	catalogs checker.CatalogSource
	views    tracker.ViewSource
	inFlight func(group, server string) int
}

// New returns a router. The function inFlight returns the number of reads that
// this instance currently runs on a replica.
func New(cfg Config, catalogs checker.CatalogSource, views tracker.ViewSource, inFlight func(group, server string) int) *Router {
	return &Router{cfg: cfg, catalogs: catalogs, views: views, inFlight: inFlight}
}

// Policy returns the policy in use.
func (r *Router) Policy() Policy { return r.cfg.Policy }

// Bounded returns the age bound of a read that names these tables, and false
// for a strict read.
func (r *Router) Bounded(group string, tables []string) (time.Duration, bool) {
	return MaxAge(r.catalogs.Catalog().Reads(group), tables)
}

// Choose selects the server for a read at the given time.
func (r *Router) Choose(req Request, now time.Time) Choice {
	c := r.catalogs.Catalog()
	age, ok := MaxAge(c.Reads(req.Group), req.Tables)
	if !ok {
		return Choice{}
	}
	choice := Choice{Bounded: true, MaxAge: age}
	view, known := r.views.View(req.Group)
	group, declared := c.Group(req.Group)
	if r.cfg.Policy == AllPrimary || !known || !declared {
		return choice
	}
	usable := filter(view.Replicas, func(v tracker.ReplicaView) bool {
		return v.Reachable && !v.Leaving && v.Server != view.Primary && !slices.Contains(req.Avoid, v.Server) &&
			!c.IsDrained(req.Group, v.Server) && r.covers(v, req, now) && isFresh(v, age, now)
	})
	if v, ok := r.pick(usable, group, req); ok {
		choice.Replica, choice.View = v.Server, v
	}
	return choice
}

// minPositionMargin is a safety margin on the time at which a replica is
// expected to have applied the minimum position. Without it, a replica that is
// slightly late has its answers rejected.
const minPositionMargin = 10 * time.Millisecond

// covers reports whether the view shows that the replica has applied the
// minimum position, or whether it is expected to have applied it by now. The
// estimate is needed because a view is up to one watch period old: without it,
// reads would avoid a replica that is 50 ms behind for several times as long.
func (r *Router) covers(v tracker.ReplicaView, req Request, now time.Time) bool {
	if !r.cfg.Policy.UsesMinPosition() {
		return true
	}
	if !req.HasMinPosition || v.Log.Covers(req.MinPosition) {
		return req.HasMinPosition
	}
	expected, ok := v.ExpectedFreshAt(now)
	return ok && !req.MinPositionAt.IsZero() && !req.MinPositionAt.Add(minPositionMargin).After(expected)
}

func isFresh(v tracker.ReplicaView, bound time.Duration, now time.Time) bool {
	age, known := v.Age(now)
	return known && age <= bound
}

// pick prefers the session's previous replica, then replicas in this instance's
// zone, then the replica with the fewest reads in flight.
func (r *Router) pick(usable []tracker.ReplicaView, group checker.Group, req Request) (tracker.ReplicaView, bool) {
	for _, v := range usable {
		if v.Server == req.Previous {
			return v, true
		}
	}
	near := prefer(usable, func(v tracker.ReplicaView) bool { return zoneOf(group, v.Server) == r.cfg.Zone })
	return minBy(near, func(v tracker.ReplicaView) int { return r.inFlight(req.Group, v.Server) })
}

func zoneOf(group checker.Group, server string) string {
	for _, s := range group.Servers {
		if s.Name == server {
			return s.Zone
		}
	}
	return ""
}
