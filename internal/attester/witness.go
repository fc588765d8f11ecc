package attester

import (
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Witness returns nil if a replica that was asked after the time knew no later
// term than the leader's. Reads that wait at the same time share one question.
func (g *Group) Witness(after time.Time, l Leader, deadline time.Time) error {
	g.mu.Lock()
	r := g.roundAfter(after, l)
	g.mu.Unlock()
	timer := g.cfg.Clock.NewTimer(deadline.Sub(g.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case <-r.done:
		return r.err
	case <-timer.Chan():
		return ErrNoWitness
	}
}

// roundAfter returns a running round that began after the time, or the next
// one. The caller holds mu.
func (g *Group) roundAfter(after time.Time, l Leader) *round {
	if w := g.witness; w != nil && w.isOf(l) && !w.began.Before(after) {
		return w
	}
	if g.witness == nil {
		r := newRound(l)
		g.run(r)
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

// run asks the replicas in the background. The caller holds mu.
func (g *Group) run(r *round) {
	r.began = g.cfg.Clock.Now()
	g.witness = r
	go func() {
		r.err = g.askWitnesses(r.leader)
		g.mu.Lock()
		g.witness = nil
		if next := g.nextRound; next != nil {
			g.nextRound = nil
			g.run(next)
		}
		g.mu.Unlock()
		close(r.done)
	}()
}

// askWitnesses asks established replicas, near ones first, until one knows no
// later term: a change takes effect only when all of them are paused for a
// later term or lead it, so one that is neither is proof enough. When none is
// established, every replica must answer.
func (g *Group) askWitnesses(l Leader) error {
	established, others := g.replicas(l.Server.ID)
	err := ErrNoWitness
	for _, srv := range established {
		reports := g.ask([]informer.Server{srv}, exchanger.Statement{Kind: exchanger.Status})
		if len(reports) == 0 {
			continue
		}
		if err = judge(reports, l.Term); err == nil {
			return nil
		}
	}
	if len(established) > 0 || len(others) == 0 {
		return g.doubt(l, err)
	}
	reports := g.ask(others, exchanger.Statement{Kind: exchanger.Status})
	if len(reports) < len(others) {
		return ErrNoWitness
	}
	return g.doubt(l, judge(reports, l.Term))
}

// doubt looks for another leader when a later term is known.
func (g *Group) doubt(l Leader, err error) error {
	if errors.Is(err, ErrSuperseded) {
		g.Suspect(l.Server.ID, "replicas know a later term")
	}
	return err
}

// judge checks that all reports are of replicas that know no later term. A
// server that takes itself for a primary is no witness: it may be the one that
// was replaced.
func judge(reports []ServerReport, term uint64) error {
	for _, r := range reports {
		if r.Report.Role != exchanger.Replica || r.Report.Term > term || r.Report.PausedTerm > term {
			return ErrSuperseded
		}
	}
	return nil
}

// replicas returns the established replicas, near ones first, and the others.
func (g *Group) replicas(leader string) (established, others []informer.Server) {
	now := g.cfg.Clock.Now()
	var far []informer.Server
	for _, srv := range g.cfg.Servers() {
		switch {
		case srv.ID == leader:
		case now.Sub(srv.Since) < establishedAfter && g.cfg.TimeOfDay().Sub(time.UnixMilli(srv.Born)) < oldAfter:
			others = append(others, srv)
		case srv.Zone == g.cfg.Zone:
			established = append(established, srv)
		default:
			far = append(far, srv)
		}
	}
	return append(established, far...), others
}
