package router

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/tracker"
)

// Config states how an instance routes.
type Config struct {
	Policy Policy
	// Zone is the availability zone of this instance.
	Zone string
}

// Request is a read that is proved to be read-only.
type Request struct {
	Group string
	// Tables are the tables that the read names.
	Tables []string
	// Floor is the session's floor.
	Floor tracker.Position
	// FloorSet is false while the session has no floor.
	FloorSet bool
	// FloorAt is the local monotonic time at which the floor was confirmed.
	FloorAt time.Time
	// Previous is the replica that served the session last, if any.
	Previous string
	// Avoid lists servers that failed to serve this read.
	Avoid []string
}

// Choice is a decision for a read.
type Choice struct {
	// Bounded is set when every table has a read rule.
	Bounded bool
	// MaxAge is the age bound of a bounded read.
	MaxAge time.Duration
	// Replica is the replica to ask, empty for the primary.
	Replica string
	// Viewed is the view's entry of the replica.
	Viewed tracker.ReplicaView
}

// Router decides where statements go.
type Router struct {
	cfg      Config
	catalogs checker.CatalogSource
	views    tracker.ViewSource
	inFlight func(group, server string) int
}

// New returns a router. The function inFlight returns the number of reads that
// this instance has in flight on a replica.
func New(cfg Config, catalogs checker.CatalogSource, views tracker.ViewSource, inFlight func(group, server string) int) *Router {
	return &Router{cfg: cfg, catalogs: catalogs, views: views, inFlight: inFlight}
}

// Policy returns the policy in use.
func (r *Router) Policy() Policy { return r.cfg.Policy }

// Bounded returns the age bound of a read, and false for a strict read.
func (r *Router) Bounded(group string, tables []string) (time.Duration, bool) {
	return MaxAge(r.catalogs.Catalog().Reads(group), tables)
}

// Choose decides where a read goes at the time now.
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
			!c.IsDrained(req.Group, v.Server) && r.covers(v, req, now) && fresh(v, age, now)
	})
	if v, ok := r.pick(usable, group, req); ok {
		choice.Replica, choice.Viewed = v.Server, v
	}
	return choice
}

// floorMargin is added to the time that a replica is expected to need for the
// floor, so that few answers are rejected for a replica that is just late.
const floorMargin = 10 * time.Millisecond

// covers reports whether the replica has applied the floor by the view, or is
// expected to have by now: a view is up to a watch period old, which would
// keep reads off replicas that are 50 ms behind for several times as long.
func (r *Router) covers(v tracker.ReplicaView, req Request, now time.Time) bool {
	if !r.cfg.Policy.UsesFloor() {
		return true
	}
	if !req.FloorSet || v.Log.Covers(req.Floor) {
		return req.FloorSet
	}
	expected, ok := v.ExpectedFreshAt(now)
	return ok && !req.FloorAt.IsZero() && !req.FloorAt.Add(floorMargin).After(expected)
}

func fresh(v tracker.ReplicaView, bound time.Duration, now time.Time) bool {
	age, known := v.Age(now)
	return known && age <= bound
}

// pick prefers the session's previous replica, then the own zone, then the
// replica with the fewest reads in flight.
func (r *Router) pick(usable []tracker.ReplicaView, group checker.Group, req Request) (tracker.ReplicaView, bool) {
	for _, v := range usable {
		if v.Server == req.Previous {
			return v, true
		}
	}
	near := prefer(usable, func(v tracker.ReplicaView) bool { return zoneOf(group, v.Server) == r.cfg.Zone })
	return least(near, func(v tracker.ReplicaView) int { return r.inFlight(req.Group, v.Server) })
}

func zoneOf(group checker.Group, server string) string {
	for _, s := range group.Servers {
		if s.Name == server {
			return s.Zone
		}
	}
	return ""
}
