package attester

import (
	"sync"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// CheckLeader checks in the background whether another server leads by now. The
// known leader stays until one is found: it may be slow rather than failed.
func (g *Group) CheckLeader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if g.discovering || now.Sub(g.lastCheck) < checkInterval {
		return
	}
	g.lastCheck = now
	go func() {
		g.cfg.AskPeers()
		g.discover()
	}()
}

// startDiscovery starts a search for the primary unless one is running. The
// caller holds mu.
func (g *Group) startDiscovery() {
	if g.discovering {
		return
	}
	g.discovering = true
	if g.outages.since.IsZero() {
		g.outages.since = g.cfg.Clock.Now()
	}
	go func() {
		backoff := discoverBackoff
		for !g.discover() {
			g.cfg.AskPeers()
			g.cfg.Clock.Sleep(backoff)
			backoff = min(2*backoff, maxDiscoverBackoff)
		}
		g.mu.Lock()
		g.discovering = false
		g.mu.Unlock()
	}()
}

// discover requests a report from every server and returns whether a leader is
// known.
func (g *Group) discover() bool {
	if l, ok := NewestLeader(g.Survey()); ok {
		g.Learn(l, "report")
	}
	_, ok := g.Leader()
	return ok
}

// NewestLeader returns the primary of the highest term, if no server knows or
// is paused for a later one.
func NewestLeader(reports []ServerReport) (Leader, bool) {
	var best Leader
	var newest uint64
	for _, r := range reports {
		newest = max(newest, r.Report.Term, r.Report.PausedTerm)
		if r.Report.Role == exchanger.Primary && r.Report.Term > best.Term {
			best = Leader{Server: r.Server, Term: r.Report.Term}
		}
	}
	return best, best.Term > 0 && best.Term >= newest
}

// ServerReport is a report with the server that gave it.
type ServerReport struct {
	Server informer.Server
	Report exchanger.Report
}

// Survey requests a report from all servers of the service in parallel and
// returns those that arrive within probeTimeout (a fraction of a second).
func (g *Group) Survey() []ServerReport {
	return g.query(g.cfg.Servers(), exchanger.Statement{Kind: exchanger.Status})
}

// query sends the statement to the servers in parallel and returns the reports
// that arrived within probeTimeout.
func (g *Group) query(servers []informer.Server, s exchanger.Statement) []ServerReport {
	deadline := g.cfg.Clock.Now().Add(probeTimeout)
	reports := make([]*exchanger.Report, len(servers))
	var wg sync.WaitGroup
	for i, srv := range servers {
		wg.Go(func() {
			if r, err := g.cfg.Prober.Probe(srv, s, deadline); err == nil {
				reports[i] = &r
			}
		})
	}
	wg.Wait()
	var out []ServerReport
	for i, r := range reports {
		if r != nil {
			out = append(out, ServerReport{Server: servers[i], Report: *r})
		}
	}
	return out
}
