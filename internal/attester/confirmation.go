package attester

import (
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// ConfirmByReplica returns nil if a replica that was asked after the time knew no
// later term than the leader's. Concurrent calls share one round of requests.
func (g *Group) ConfirmByReplica(after time.Time, l Leader, deadline time.Time) error {
	g.mu.Lock()
	r := g.roundAfter(after, l)
	g.mu.Unlock()
	timer := g.cfg.Clock.NewTimer(deadline.Sub(g.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case <-r.done:
		return r.err
	case <-timer.Chan():
		return ErrNotConfirmed
	}
}

// roundAfter returns the running round if it began after the time, or the next
// one. The caller holds mu.
func (g *Group) roundAfter(after time.Time, l Leader) *round {
	if w := g.running; w != nil && w.isOf(l) && !w.began.Before(after) {
		return w
	}
	if g.running == nil {
		r := newRound(l)
		g.startRound(r)
		return r
	}
	if old := g.nextRound; old != nil && !old.isOf(l) {
		old.err = ErrSuperseded
		close(old.done)
		g.nextRound = nil
	}
	if g.nextRound == nil {
		g.nextRound = newRound(l)
	}
	return g.nextRound
}

// startRound queries the replicas in the background. The caller holds mu.
func (g *Group) startRound(r *round) {
	r.began = g.cfg.Clock.Now()
	g.running = r
	go func() {
		r.err = g.queryReplicas(r.leader)
		g.mu.Lock()
		g.running = nil
		if next := g.nextRound; next != nil {
			g.nextRound = nil
			g.startRound(next)
		}
		g.mu.Unlock()
		close(r.done)
	}()
}

// queryReplicas asks established replicas, near ones first, until one confirms
// that it knows no later term. One is enough: a change of primary takes effect
// only when every replica is paused for a later term or leads it. If no replica
// is established, all of them must answer and confirm.
func (g *Group) queryReplicas(l Leader) error {
	established, others := g.replicas(l.Server.ID)
	err := ErrNotConfirmed
	for _, srv := range established {
		reports := g.query([]informer.Server{srv}, exchanger.Statement{Kind: exchanger.Status})
		if len(reports) == 0 {
			continue
		}
		if err = checkReports(reports, l.Term); err == nil {
			return nil
		}
	}
	if len(established) > 0 || len(others) == 0 {
		return g.suspectIfSuperseded(l, err)
	}
	reports := g.query(others, exchanger.Statement{Kind: exchanger.Status})
	if len(reports) < len(others) {
		return ErrNotConfirmed
	}
	return g.suspectIfSuperseded(l, checkReports(reports, l.Term))
}

// suspectIfSuperseded suspects the leader if a later term is known.
func (g *Group) suspectIfSuperseded(l Leader, err error) error {
	if errors.Is(err, ErrSuperseded) {
		g.Suspect(l.Server.ID, "replicas know a later term")
	}
	return err
}

// checkReports returns nil if all reports are from replicas that know no later
// term. A server that reports to be a primary confirms nothing: it may be the one
// that was replaced.
func checkReports(reports []ServerReport, term uint64) error {
	for _, r := range reports {
		if r.Report.Role != exchanger.Replica || r.Report.Term > term || r.Report.PausedTerm > term {
			return ErrSuperseded
		}
	}
	return nil
}

// replicas returns the established replicas, those in this zone first, and the
// others.
func (g *Group) replicas(leader string) (established, others []informer.Server) {
	now := g.cfg.Clock.Now()
	var far []informer.Server
	for _, srv := range g.cfg.Servers() {
		switch {
		case srv.ID == leader:
		case now.Sub(srv.Since) < establishedAfter && g.cfg.TimeOfDay().Sub(time.UnixMilli(srv.Born)) < establishedUptime:
			others = append(others, srv)
		case srv.Zone == g.cfg.Zone:
			established = append(established, srv)
		default:
			far = append(far, srv)
		}
	}
	return append(established, far...), others
}
