package attester

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/sharer"
	"marigoldhub.example/hub/internal/tracker"
)

var (
	// ErrNoLeader means that no primary is known.
	ErrNoLeader = errors.New("no primary is known")
	// ErrSuperseded means that a later term has begun or is about to begin.
	ErrSuperseded = errors.New("the primary is being replaced")
	// ErrNotConfirmed means that no replica confirmed the term in time.
	ErrNotConfirmed = errors.New("no replica confirmed the primary's term")
)

const (
	// probeTimeout limits one report. A busy server answers after the requests
	// that it is running, which takes at most 220 ms.
	probeTimeout = 400 * time.Millisecond
	// discoverBackoff is the first pause between two rounds of discovery. It is
	// short compared with the 300 to 600 ms of a promotion.
	discoverBackoff = 80 * time.Millisecond
	// maxDiscoverBackoff limits the pause, which doubles after each round.
	maxDiscoverBackoff = 640 * time.Millisecond
	// checkInterval is the least time between two runs of CheckLeader.
	checkInterval = 300 * time.Millisecond
)

// Group tracks the primary of one service and holds the proofs that it leads.
type Group struct {
	cfg Config

	mu     sync.Mutex
	leader Leader
	known  bool
	// suspended is true while the known leader is suspected not to lead.
	suspended bool
	outages   outages
	// highestTerm is the term of the latest known leader.
	highestTerm  uint64
	samples      samples
	acknowledged tracker.Position
	// changed is closed and replaced when the leader changes or is suspended.
	changed     chan struct{}
	discovering bool
	lastCheck   time.Time
	lease       lease
	switchover  switchoverLease
	// queries are the status queries of ConfirmByReplica, by server.
	queries map[string]*replicaQueries

	// confirmations are rounds of ConfirmByReplica; logsOfReplicas and logsOfNext are
	// those of ConfirmCommit.
	confirmations  *sharer.Sharer[leaderKey, struct{}]
	logsOfReplicas *sharer.Sharer[leaderKey, tracker.Position]
	logsOfNext     *sharer.Sharer[string, tracker.Position]
}

// NewGroup returns a group whose leader is not known yet.
func NewGroup(cfg Config) *Group {
	return &Group{
		cfg: cfg, changed: make(chan struct{}), queries: map[string]*replicaQueries{}, confirmations: sharer.New[leaderKey, struct{}](cfg.Clock),
		logsOfReplicas: sharer.New[leaderKey, tracker.Position](cfg.Clock), logsOfNext: sharer.New[string, tracker.Position](cfg.Clock),
	}
}

// Leader returns the known primary; false if there is none or it is suspected
// not to lead.
func (g *Group) Leader() (Leader, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.known && !g.suspended
}

// Term returns the term of the latest known leader, even a suspected one.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestTerm
}

// Changed returns a channel that is closed when another primary is known, or the present one
// is suspected not to lead.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// AwaitLeader returns the primary, and starts discovery and waits if none is
// known.
func (g *Group) AwaitLeader(deadline time.Time) (Leader, error) {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		l, ok, changed := g.leader, g.known && !g.suspended, g.changed
		if !ok {
			g.startDiscovery()
		}
		g.mu.Unlock()
		if ok {
			return l, nil
		}
		if timeout == nil {
			timer := g.cfg.Clock.NewTimer(deadline.Sub(g.cfg.Clock.Now()))
			defer timer.Stop()
			timeout = timer.Chan()
		}
		select {
		case <-changed:
		case <-timeout:
			return Leader{}, ErrNoLeader
		}
	}
}

// Learn adopts a leader that a server's report or another instance named. A
// leader of a lower term than the known one is ignored.
func (g *Group) Learn(l Leader, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Term < g.highestTerm || g.known && !g.suspended && l.Term == g.leader.Term && l.Server.ID == g.leader.Server.ID {
		return
	}
	if g.suspended {
		g.outages.end(g.cfg.Clock.Now())
	}
	g.leader, g.known, g.suspended, g.highestTerm = l, true, false, l.Term
	g.notify()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": l.Server.ID, "term": l.Term, "source": source}).
		Info("attester: primary is known")
}

// Suspect stops treating the server as the leader and starts discovery. It has no
// effect on any other leader. The server is the leader again if it is found to lead.
func (g *Group) Suspect(serverID string, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || g.suspended || g.leader.Server.ID != serverID {
		return
	}
	g.suspended, g.outages.since = true, g.cfg.Clock.Now()
	g.notify()
	g.startDiscovery()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": serverID, "term": g.leader.Term, "reason": reason}).
		Warn("attester: primary is in doubt")
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// IsLeading reports whether the leader's report shows that it leads the term. If
// it does not, the leader is suspected.
func (g *Group) IsLeading(l Leader, r exchanger.Report) bool {
	if r.Role == exchanger.Primary && r.Term == l.Term {
		return true
	}
	g.Suspect(l.Server.ID, "reports role "+r.Role.String())
	return false
}
