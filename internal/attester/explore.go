package attester

import (
	"sync"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Check looks in the background whether another server leads meanwhile. The
// present leader stays until one is found: that it does not answer may mean
// that it is slow.
func (g *Group) Check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if g.exploring || now.Sub(g.checked) < checkPause {
		return
	}
	g.checked = now
	go func() {
		g.cfg.AskPeers()
		g.discover()
	}()
}

// explore starts a search for the primary. The caller holds mu.
func (g *Group) explore() {
	if g.exploring {
		return
	}
	g.exploring = true
	go func() {
		pause := discoverPause
		for !g.discover() {
			g.cfg.AskPeers()
			g.cfg.Clock.Sleep(pause)
			pause = min(2*pause, discoverPauseLimit)
		}
		g.mu.Lock()
		g.exploring = false
		g.mu.Unlock()
	}()
}

// discover asks all servers once and reports whether a leader is known.
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

// Survey asks all servers of the service at the same time and returns the
// reports that arrived.
func (g *Group) Survey() []ServerReport {
	return g.ask(g.cfg.Servers(), exchanger.Statement{Kind: exchanger.Status})
}

func (g *Group) ask(servers []informer.Server, s exchanger.Statement) []ServerReport {
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
