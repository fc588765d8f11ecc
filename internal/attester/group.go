package attester

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

var (
	// ErrNoLeader means that no primary is known.
	ErrNoLeader = errors.New("no primary is known")
	// ErrSuperseded means that a later term has begun or is about to.
	ErrSuperseded = errors.New("the primary is being replaced")
	// ErrNotConfirmed means that no replica confirmed the term in time.
	ErrNotConfirmed = errors.New("no replica confirmed the primary's term")
)

const (
	// probeTimeout limits one report; a server that is busy answers within the
	// work of the requests before it, at most 220 ms.
	probeTimeout = 400 * time.Millisecond
	// discoverBackoff separates two rounds while no primary is found. It is short
	// against the 300 to 600 ms of a promotion.
	discoverBackoff = 80 * time.Millisecond
	// maxDiscoverBackoff is what the pause grows to by doubling.
	maxDiscoverBackoff = 640 * time.Millisecond
	// checkInterval separates two looks for another leader.
	checkInterval = 300 * time.Millisecond
	// establishedAfter is how long a replica must be known to be a witness by
	// itself. It exceeds the time in which every list shows a restart.
	establishedAfter = 10 * time.Second
	// establishedUptime is the same for a replica that this instance has just met, by
	// the time of day at which the replica says it started. It allows for
	// clocks that are wrong by 20 s.
	establishedUptime = 30 * time.Second
)

// Group is one service's leader with its proofs.
type Group struct {
	cfg Config

	mu           sync.Mutex
	leader       Leader
	known        bool
	suspended    bool
	highestTerm  uint64
	samples      samples
	acknowledged tracker.Position
	changed      chan struct{}
	discovering  bool
	lastCheck    time.Time
	running      *round
	nextRound    *round
	lease        lease
}

// NewGroup returns a group whose leader is not known yet.
func NewGroup(cfg Config) *Group { return &Group{cfg: cfg, changed: make(chan struct{})} }

// Leader returns the primary that is believed to lead.
func (g *Group) Leader() (Leader, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.known && !g.suspended
}

// Term returns the highest term that is known, led or not.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestTerm
}

// AwaitLeader waits for a primary and starts looking for one.
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

// Learn takes over a leader that a server's report or a peer named. A lower
// term than the known one is ignored.
func (g *Group) Learn(l Leader, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Term < g.highestTerm || g.known && !g.suspended && l.Term == g.leader.Term && l.Server.ID == g.leader.Server.ID {
		return
	}
	g.leader, g.known, g.suspended, g.highestTerm = l, true, false, l.Term
	g.notify()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": l.Server.ID, "term": l.Term, "source": source}).
		Info("attester: primary is known")
}

// Suspect stops treating the server as the leader until a report confirms
// a leader.
func (g *Group) Suspect(serverID string, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || g.suspended || g.leader.Server.ID != serverID {
		return
	}
	g.suspended = true
	g.notify()
	g.startDiscovery()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": serverID, "term": g.leader.Term, "reason": reason}).
		Warn("attester: primary is in doubt")
}

// notify wakes those that wait for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// IsLeading reports whether the leader's report shows that it leads the term;
// if not, the leader is in doubt.
func (g *Group) IsLeading(l Leader, r exchanger.Report) bool {
	if r.Role == exchanger.Primary && r.Term == l.Term {
		return true
	}
	g.Suspect(l.Server.ID, "reports role "+r.Role.String())
	return false
}
