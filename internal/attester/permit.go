package attester

import "time"

// lease is the promise of the duty's holder that the leader stays until a time.
type lease struct {
	server string
	term   uint64
	until  time.Time
}

// ExtendLease records that the holder of the duty will not let another server lead
// before the time. The time is counted from before the holder was asked, on a
// clock that counts suspensions.
func (g *Group) ExtendLease(server string, term uint64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term >= g.highestTerm && until.After(g.lease.until) {
		g.lease = lease{server: server, term: term, until: until}
	}
}

// LeaseRemaining returns the leader that is promised to stay and for how long yet;
// false if there is no promise. What is left of a promise may be passed on.
func (g *Group) LeaseRemaining() (server string, term uint64, left time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left = g.lease.until.Sub(g.cfg.Clock.Now())
	return g.lease.server, g.lease.term, left, left > 0 && g.lease.term == g.highestTerm
}

// HasLease reports whether the leader is promised to lead right now. It
// proves everything that began at the leader or arrived from a caller before
// the call, as a witness does, without a question to the servers.
func (g *Group) HasLease(l Leader) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.server == l.Server.ID && g.lease.term == l.Term && g.highestTerm == l.Term &&
		g.cfg.Clock.Now().Before(g.lease.until)
}
