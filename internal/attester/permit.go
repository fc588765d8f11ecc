package attester

import "time"

// permit is the promise of the duty's holder that the leader stays until a time.
type permit struct {
	server string
	term   uint64
	until  time.Time
}

// Permit records that the holder of the duty will not let another server lead
// before the time. The time is counted from before the holder was asked, on a
// clock that counts suspensions.
func (g *Group) Permit(server string, term uint64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term >= g.highest && until.After(g.permit.until) {
		g.permit = permit{server: server, term: term, until: until}
	}
}

// PermitLeft returns the leader that is promised to stay and for how long yet;
// false if there is no promise. What is left of a promise may be passed on.
func (g *Group) PermitLeft() (server string, term uint64, left time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left = g.permit.until.Sub(g.cfg.Clock.Now())
	return g.permit.server, g.permit.term, left, left > 0 && g.permit.term == g.highest
}

// IsPermitted reports whether the leader is promised to lead right now. It
// proves everything that began at the leader or arrived from a caller before
// the call, as a witness does, without a question to the servers.
func (g *Group) IsPermitted(l Leader) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.permit.server == l.Server.ID && g.permit.term == l.Term && g.highest == l.Term &&
		g.cfg.Clock.Now().Before(g.permit.until)
}
