package attester

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/sharer"
)

// leaderKey identifies a leader among rounds.
type leaderKey struct {
	server string
	term   uint64
}

func keyOf(l Leader) leaderKey { return leaderKey{l.Server.ID, l.Term} }

// ConfirmByReplica returns nil if a replica that was asked after the time knew no
// later term than the leader's. Concurrent calls share one round of requests.
func (g *Group) ConfirmByReplica(after time.Time, l Leader, deadline time.Time) error {
	return g.BeginConfirmation(after, l)(deadline)
}

// BeginConfirmation begins what [Group.ConfirmByReplica] does. The returned function waits for
// the result; it need not be called.
func (g *Group) BeginConfirmation(after time.Time, l Leader) func(deadline time.Time) error {
	await := g.confirmations.Begin(keyOf(l), after, func() (struct{}, error) { return struct{}{}, g.queryReplicas(l) })
	return func(deadline time.Time) error {
		_, err := await(deadline)
		if errors.Is(err, sharer.ErrDeadline) {
			return ErrNotConfirmed
		}
		return err
	}
}

// queryReplicas asks all replicas and returns nil if an established one confirms that it knows no
// later term, and none that answers is paused for one or knows it. One that confirms is no proof
// beside one that shows a change: it may have forgotten its pause in a restart that is not listed
// yet. If no replica is established, all of them must answer and confirm. During a switchover
// only the next primary is asked. After the last switchover lease, as long as [Group.PendingNext]
// names it, the next primary must confirm in addition to the others.
func (g *Group) queryReplicas(l Leader) error {
	if next, ok := g.switchoverNext(l); ok {
		return g.queryNext(l, next)
	}
	established, others := g.replicas(l.Server.ID)
	round := g.beginRound(established, others)
	next, needsNext := g.PendingNext(l)
	confirming, isConfirmed := 0, false
	for {
		a, ok := round.next(isConfirmed && !needsNext)
		switch {
		case !ok && !needsNext && (isConfirmed || len(established) == 0 && confirming > 0 && confirming == len(others)):
			return nil
		case !ok:
			return ErrNotConfirmed
		case a.report == nil:
		case isLater(*a.report, l.Term):
			return g.suspectIfSuperseded(l, ErrSuperseded)
		case a.report.Role == exchanger.Replica:
			confirming++
			needsNext = needsNext && a.server.ID != next
			isConfirmed = isConfirmed || slices.ContainsFunc(established, func(srv informer.Server) bool { return srv.ID == a.server.ID })
		}
	}
}

// queryNext asks the next primary of a switchover. While the switchover lease holds, no
// other server can lead after the leader, and the other replicas are paused in advance.
func (g *Group) queryNext(l Leader, next string) error {
	r, ok := g.reportOf(next)
	now, stillHolds := g.switchoverNext(l)
	switch {
	case ok && isLater(r, l.Term):
		return g.suspectIfSuperseded(l, ErrSuperseded)
	case !ok || !stillHolds || now != next || r.Role != exchanger.Replica:
		return ErrNotConfirmed
	}
	return nil
}

// suspectIfSuperseded suspects the leader if a later term is known.
func (g *Group) suspectIfSuperseded(l Leader, err error) error {
	if errors.Is(err, ErrSuperseded) {
		g.Suspect(l.Server.ID, "replicas know a later term")
	}
	return err
}

// isLater reports whether the report shows that a change to a term after the given one
// has begun. A server that reports to be the primary of an earlier term shows none, nor
// does it confirm: it may be one that was replaced.
func isLater(r exchanger.Report, term uint64) bool { return max(r.Term, r.PausedTerm) > term }

// replicas returns the established replicas and the others.
func (g *Group) replicas(leader string) (established, others []informer.Server) {
	g.mu.Lock()
	leaseEnd := g.lease.until
	g.mu.Unlock()
	for _, srv := range g.cfg.Servers() {
		switch {
		case srv.ID == leader:
		case srv.Since.Before(leaseEnd):
			established = append(established, srv)
		default:
			others = append(others, srv)
		}
	}
	return established, others
}
