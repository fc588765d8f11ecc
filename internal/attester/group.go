package attester

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

var (
	// ErrNoLeader means that no primary is known.
	ErrNoLeader = errors.New("no primary is known")
	// ErrSuperseded means that a later term has begun or is about to.
	ErrSuperseded = errors.New("the primary is being replaced")
	// ErrNoWitness means that no replica confirmed the term in time.
	ErrNoWitness = errors.New("no replica confirmed the primary's term")
)

const (
	// probeTimeout limits one report; a server that is busy answers within the
	// work of the requests before it, at most 220 ms.
	probeTimeout = 400 * time.Millisecond
	// discoverPause separates two rounds while no primary is found. It is short
	// against the 300 to 600 ms of a promotion.
	discoverPause = 80 * time.Millisecond
	// discoverPauseLimit is what the pause grows to by doubling.
	discoverPauseLimit = 640 * time.Millisecond
	// checkPause separates two looks for another leader.
	checkPause = 300 * time.Millisecond
	// establishedAfter is how long a replica must be known to be a witness by
	// itself. It exceeds the time in which every list shows a restart.
	establishedAfter = 10 * time.Second
	// oldAfter is the same for a replica that this instance has just met, by
	// the time of day at which the replica says it started. It allows for
	// clocks that are wrong by 20 s.
	oldAfter = 30 * time.Second
)

// Group is one service's leader with its proofs.
type Group struct {
	cfg Config

	mu        sync.Mutex
	leader    Leader
	known     bool
	suspended bool
	highest   uint64
	samples   samples
	acked     tracker.Position
	changed   chan struct{}
	exploring bool
	checked   time.Time
	witness   *round
	nextRound *round
	permit    permit
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
	return g.highest
}

// AwaitLeader waits for a primary and starts looking for one.
func (g *Group) AwaitLeader(deadline time.Time) (Leader, error) {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		l, ok, changed := g.leader, g.known && !g.suspended, g.changed
		if !ok {
			g.explore()
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
	if l.Term < g.highest || g.known && !g.suspended && l.Term == g.leader.Term && l.Server.ID == g.leader.Server.ID {
		return
	}
	g.leader, g.known, g.suspended, g.highest = l, true, false, l.Term
	g.notify()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": l.Server.ID, "term": l.Term, "source": source}).
		Info("attester: primary is known")
}

// Suspect withdraws the belief that the server leads, until a report confirms
// a leader.
func (g *Group) Suspect(serverID string, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || g.suspended || g.leader.Server.ID != serverID {
		return
	}
	g.suspended = true
	g.notify()
	g.explore()
	g.cfg.Log.WithFields(logrus.Fields{"service": g.cfg.Service, "server": serverID, "term": g.leader.Term, "reason": reason}).
		Warn("attester: primary is in doubt")
}

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

// notify wakes those that wait for a change. The caller holds mu.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
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
	reports := g.Survey()
	var best Leader
	var newest uint64
	for _, r := range reports {
		newest = max(newest, r.Report.Term, r.Report.PausedFor)
		if r.Report.Role == exchanger.Primary && r.Report.Term > best.Term {
			best = Leader{Server: r.Server, Term: r.Report.Term}
		}
	}
	if best.Term > 0 && best.Term >= newest {
		g.Learn(best, "report")
	}
	_, ok := g.Leader()
	return ok
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

// AddSample records a position that the leader of the term had after at. The
// caller has a proof that the leader had not been superseded then.
func (g *Group) AddSample(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Term < g.highest {
		return
	}
	g.samples = g.samples.with(s)
}

// Acknowledge records the position of a commit that a caller, of this instance
// or another, was told has succeeded.
func (g *Group) Acknowledge(p tracker.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Compare(g.acked) > 0 {
		g.acked = p
	}
}

// Acknowledged returns the highest position of an acknowledged commit that is
// known.
func (g *Group) Acknowledged() tracker.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acked
}

// Floor returns the lowest known position that covers every commit that was
// acknowledged before the time.
func (g *Group) Floor(before time.Time) (Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.samples.since(before)
}

// Newest returns the newest sample.
func (g *Group) Newest() (Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.samples) == 0 {
		return Sample{}, false
	}
	return g.samples[len(g.samples)-1], true
}

// AwaitFloor is Floor, and asks the leader when no sample is young enough.
func (g *Group) AwaitFloor(before, deadline time.Time) (Sample, error) {
	for {
		if s, ok := g.Floor(before); ok {
			return s, nil
		}
		if !g.cfg.Clock.Now().Before(deadline) {
			return Sample{}, ErrNoLeader
		}
		err := g.refresh(deadline)
		if s, ok := g.Floor(before); ok {
			return s, nil
		}
		if err != nil {
			return Sample{}, err
		}
	}
}

// refresh takes a new sample from the leader or, if it cannot be asked, from
// the other instances.
func (g *Group) refresh(deadline time.Time) error {
	l, ok := g.Leader()
	if !ok {
		g.cfg.AskPeers()
		var err error
		if l, err = g.AwaitLeader(deadline); err != nil {
			return err
		}
	}
	err := g.Confirm(l, deadline)
	if err != nil {
		g.cfg.AskPeers()
	}
	return err
}

// Confirm proves that the server leads the term at a time after the call, and
// takes a new sample from it. What ran at another server is not proved by it.
func (g *Group) Confirm(l Leader, deadline time.Time) error {
	began := g.cfg.Clock.Now()
	var report exchanger.Report
	var probeErr error
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		report, probeErr = g.cfg.Prober.Probe(l.Server, exchanger.Statement{Kind: exchanger.Status}, earlier(deadline, began.Add(probeTimeout)))
	}()
	var err error
	if !g.IsPermitted(l) {
		err = g.Witness(began, l, deadline)
	}
	<-asked
	if probeErr != nil {
		return probeErr
	}
	if err != nil {
		return err
	}
	if !g.IsLeading(l, report) {
		return ErrSuperseded
	}
	g.AddSample(Sample{At: began, Position: report.Received, Term: l.Term})
	return nil
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
