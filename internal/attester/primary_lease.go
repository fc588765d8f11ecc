package attester

import "time"

// lease is a primary lease: the coordinator's guarantee that it will not change
// the primary before a time.
type lease struct {
	server string
	term   uint64
	until  time.Time
}

// SettleLimit is how long a call of a coordinator to the platform may take effect after the
// coordinator has lost the role or has granted its last lease. Promotions usually take some
// hundred ms, but the platform may run a call some seconds after it received it when it is
// slow. Only leases and proofs wait for this time; without them callers are still served.
const SettleLimit = 10 * time.Second

// switchoverLease is the coordinator's guarantee that before a time it will let only one
// server, the next primary, lead after the present one.
type switchoverLease struct {
	lease
	next string
	// isOver is true once a primary lease for the server was recorded that was asked for later.
	isOver bool
}

// ExtendSwitchover records a switchover lease: before the time, only the next primary
// may replace the server. It proves nothing for reads.
func (g *Group) ExtendSwitchover(server, next string, term uint64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term >= g.highestTerm && until.After(g.switchover.until) {
		g.switchover = switchoverLease{lease: lease{server: server, term: term, until: until}, next: next}
	}
}

// SwitchoverRemaining returns the switchover lease and its remaining time; false if
// there is none.
func (g *Group) SwitchoverRemaining() (server, next string, term uint64, remaining time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.switchover
	remaining = s.until.Sub(g.cfg.Clock.Now())
	return s.server, s.next, s.term, remaining, remaining > 0 && s.term == g.highestTerm
}

// switchoverNext returns the only server that may replace the leader now; false if
// this instance has no such guarantee.
func (g *Group) switchoverNext(l Leader) (string, bool) {
	server, next, term, _, ok := g.SwitchoverRemaining()
	return next, ok && server == l.Server.ID && term == l.Term
}

// PendingNext returns the next primary of the last switchover lease for the leader; false if
// there was none, if a primary lease for the leader was recorded since, or if the lease ended
// longer than [SettleLimit] ago. A call for this server may take effect after the lease, also
// when the replicas that were paused for it have restarted.
func (g *Group) PendingNext(l Leader) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.switchover
	mayTakeEffect := !s.isOver && g.cfg.Clock.Since(s.until) <= SettleLimit
	return s.next, s.server == l.Server.ID && s.term == l.Term && mayTakeEffect
}

// ExtendLease records a primary lease: the coordinator will not let another
// server lead before the time. The time is counted from before the coordinator
// was asked, on a clock that includes the time in which the machine is suspended.
func (g *Group) ExtendLease(server string, term uint64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term >= g.highestTerm && until.After(g.lease.until) {
		g.lease = lease{server: server, term: term, until: until}
		// A lease that ends earlier was asked for before and has arrived late.
		if s := g.switchover; s.server == server && s.term == term && until.After(s.until) {
			g.switchover.isOver = true
		}
	}
}

// LeaseRemaining returns the primary lease and its remaining time; false if there
// is none. A relay may grant others what remains.
func (g *Group) LeaseRemaining() (server string, term uint64, remaining time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining = g.lease.until.Sub(g.cfg.Clock.Now())
	return g.lease.server, g.lease.term, remaining, remaining > 0 && g.lease.term == g.highestTerm
}

// HasLease reports whether a primary lease for the leader holds now. It proves the
// same as a confirmation by a replica, without a request to the servers, for every
// request that has arrived from its caller by now, whether or not the leader has
// begun to run it.
func (g *Group) HasLease(l Leader) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.server == l.Server.ID && g.lease.term == l.Term && g.highestTerm == l.Term &&
		g.cfg.Clock.Now().Before(g.lease.until)
}
