package promoter

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// checkInterval is short compared with the timeouts of failure detection.
	checkInterval = 20 * time.Millisecond
	// commandTimeout bounds one command to one server.
	commandTimeout = 300 * time.Millisecond
	// fenceGrace is the time that the remaining servers have to accept a fence
	// after a majority accepted it. Those that do can be chosen, and can follow
	// the new primary at once.
	fenceGrace = 20 * time.Millisecond
	// establishTimeout bounds the wait for the confirmation of a term's first
	// record.
	establishTimeout = time.Second
	// repairInterval is the minimum time between follow commands to one server.
	// It is longer than commandTimeout, so that they never overlap.
	repairInterval = 350 * time.Millisecond
	// stuckRepairInterval is repairInterval for a replica that follows the
	// leader but does not advance.
	stuckRepairInterval = 2 * time.Second

	// backoffMin plus a random part of backoffJitter is the wait after a failed
	// attempt.
	backoffMin    = 50 * time.Millisecond
	backoffJitter = 150 * time.Millisecond
)

// Config configures a [Promoter].
type Config struct {
	// Instance is the name of this entry instance.
	Instance string
	// Tracker provides the state of the group.
	Tracker *tracker.Tracker
	// Commanders has one entry for each server of the tracker's group. The
	// statuses that they return must also reach the tracker.
	Commanders map[string]Commander
	// Planner is nil when there are no planned changes.
	Planner  Planner
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
	// Log is the standard logger if nil.
	Log logrus.FieldLogger
}

// Promoter monitors one group and promotes a server when the group needs a new
// primary.
type Promoter struct {
	cfg   Config
	group tracker.Group
	done  chan struct{}
	stop  context.CancelFunc

	detector   detector
	lastRepair map[string]time.Time
	nextPlanAt time.Time
	commands   sync.WaitGroup
	pending    pending
}

// pending is a promotion whose term is not established yet. It is empty if term
// is 0.
type pending struct {
	term      uint64
	startedAt time.Time
}

// New starts a promoter, which runs until it is closed.
func New(cfg Config) *Promoter {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Promoter{
		cfg:        cfg,
		group:      cfg.Tracker.Group(),
		done:       make(chan struct{}),
		stop:       cancel,
		lastRepair: make(map[string]time.Time),
	}
	go func() {
		defer close(p.done)
		p.run(ctx)
		p.commands.Wait()
	}()
	return p
}

// Done returns a channel that is closed when the promoter has stopped.
func (p *Promoter) Done() <-chan struct{} { return p.done }

// Close stops the promoter and waits until it has. A promotion in progress stops
// after its current step.
func (p *Promoter) Close() {
	p.stop()
	<-p.done
}

func (p *Promoter) run(ctx context.Context) {
	for p.sleep(ctx, checkInterval) {
		s := p.cfg.Tracker.State()
		now := p.cfg.Clock.Now()
		p.recordEstablished(s)
		if reason := p.detector.check(s, now); reason != "" {
			p.failOver(ctx, s, reason)
			continue
		}
		p.repair(ctx, s, now)
		p.runPlan(ctx, s, now)
	}
}

// sleep waits for d. It returns false if ctx ended.
func (p *Promoter) sleep(ctx context.Context, d time.Duration) bool {
	timer := p.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// failOver promotes a server after a failure. It waits before it returns if the
// promotion failed.
func (p *Promoter) failOver(ctx context.Context, s tracker.State, reason string) {
	if !p.hasMajorityStatus(s) {
		p.sleep(ctx, firstStatusWait)
		return
	}
	p.record("detected", s.HighestTerm(), "reason", reason, "primary", s.Primary)
	if err := p.runAttempt(ctx, s, constraints{excluded: p.detector.excluded(s, reason)}); err != nil {
		p.cfg.Log.WithField("group", p.group.Name).WithError(err).Warn("promoter: promotion failed")
		p.sleep(ctx, backoffMin+rand.N(backoffJitter))
	}
}

// firstStatusWait is the wait for the servers' first statuses. It covers a few
// round trips.
const firstStatusWait = 20 * time.Millisecond

// hasMajorityStatus reports whether a majority of the servers has reported a
// status at least once. The statuses show which planned changes took effect, and
// the fence of a new attempt overwrites them. An instance that has just become
// the monitor must therefore read them before its first attempt.
func (p *Promoter) hasMajorityStatus(s tracker.State) bool {
	seen := 0
	for _, o := range s.Servers {
		if o.Seen() {
			seen++
		}
	}
	return seen >= p.group.Majority()
}

// constraints limit which server a promotion may choose.
type constraints struct {
	// plan is the planned change that the promotion is for. Its target is
	// preferred among servers whose logs end at the same position.
	plan Plan
	// excluded is fenced but not counted: the promotion needs a majority of
	// other servers, and chooses one of them.
	excluded string
}

// runAttempt makes one attempt to promote a server.
func (p *Promoter) runAttempt(ctx context.Context, s tracker.State, c constraints) error {
	startedAt := p.cfg.Clock.Now()
	term := s.HighestTerm() + 1
	id := attemptID(p.cfg.Instance, c.plan, p.completedChanges(s))
	p.detector.ownTerm = term

	fenced := p.fenceAll(ctx, term, id, c.excluded)
	if len(fenced) < p.group.Majority() {
		p.record("refused", term, "step", "fence", "accepted", len(fenced))
		return fmt.Errorf("term %d: fence accepted by %d of %d servers", term, len(fenced), len(p.group.Servers))
	}
	p.record("fenced", term, "servers", serverNames(fenced))
	if err := ctx.Err(); err != nil {
		return err
	}

	chosen := p.choose(fenced, c.plan.To)
	p.record("chosen", term, "server", chosen.Server, "log", chosen.Log)
	if err := ctx.Err(); err != nil {
		return err
	}

	primary, err := p.promoteServer(ctx, chosen.Server, term, id)
	if err != nil {
		p.record("refused", term, "step", "promote", "server", chosen.Server)
		return err
	}
	p.record("promoted", term, "server", chosen.Server, "log", primary.Log)
	if err := ctx.Err(); err != nil {
		return err
	}

	p.followAll(ctx, term, chosen.Server)
	p.pending = pending{term: term, startedAt: startedAt}
	if err := p.awaitEstablished(ctx, primary); err != nil {
		return fmt.Errorf("term %d: not established: %w", term, err)
	}
	p.recordEstablished(p.cfg.Tracker.State())
	return nil
}

func (p *Promoter) completedChanges(s tracker.State) []string {
	if p.cfg.Planner == nil {
		return nil
	}
	return p.cfg.Planner.CompletedIDs(s)
}

// recordEstablished ends the pending promotion if its term or a later one is
// established. If it is its own term, that is recorded.
func (p *Promoter) recordEstablished(s tracker.State) {
	if p.pending.term == 0 || s.Term < p.pending.term {
		return
	}
	if s.Term == p.pending.term {
		p.record("established", s.Term, "server", s.Primary, "duration", p.cfg.Clock.Since(p.pending.startedAt))
	}
	p.pending = pending{}
}

// fenceAll sends the fence to all servers and returns the statuses of those that
// accepted it, except the excluded one. Once a majority accepted, it waits for
// the others for fenceGrace only.
func (p *Promoter) fenceAll(ctx context.Context, term uint64, id, excluded string) []tracker.Status {
	answers := make(chan tracker.Status, len(p.group.Servers))
	for _, server := range p.group.Servers {
		p.startCommand(ctx, server.Name, func(ctx context.Context, c Commander) {
			s, err := c.Fence(ctx, term, id)
			if err != nil || server.Name == excluded {
				s = tracker.Status{}
			}
			answers <- s
		})
	}
	var accepted []tracker.Status
	var grace <-chan time.Time
	for range p.group.Servers {
		select {
		case s := <-answers:
			if s.Term == term && s.Promoter == id {
				accepted = append(accepted, s)
			}
		case <-grace:
			return accepted
		}
		if len(accepted) >= p.group.Majority() && grace == nil {
			grace = p.cfg.Clock.After(fenceGrace)
		}
	}
	return accepted
}

// startCommand runs f in the background with the named server's commander.
func (p *Promoter) startCommand(ctx context.Context, server string, f func(context.Context, Commander)) {
	p.commands.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		f(ctx, p.cfg.Commanders[server])
	})
}

// choose returns the fenced server with the highest log end. Among equal log
// ends the rank decides, then the position up to which the server has applied
// its log.
func (p *Promoter) choose(fenced []tracker.Status, preferred string) tracker.Status {
	best := fenced[0]
	for _, s := range fenced[1:] {
		c := cmp.Or(
			s.Log.Compare(best.Log),
			cmp.Compare(p.rank(best.Server, preferred), p.rank(s.Server, preferred)),
			s.Applied.Compare(best.Applied),
		)
		if c > 0 {
			best = s
		}
	}
	return best
}

// rank returns the server's rank in choose; lower is better.
func (p *Promoter) rank(server, preferred string) int {
	switch {
	case server == preferred:
		return 0
	case p.cfg.Planner != nil && p.cfg.Planner.IsAvoided(server):
		return 2
	default:
		return 1
	}
}

// promoteServer sends the promote command and checks that the server accepted it.
func (p *Promoter) promoteServer(ctx context.Context, server string, term uint64, id string) (tracker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	s, err := p.cfg.Commanders[server].Promote(ctx, term, id)
	if err != nil {
		return s, fmt.Errorf("term %d: promote %s: %w", term, server, err)
	}
	if s.Role != tracker.RolePrimary || s.Term != term {
		return s, fmt.Errorf("term %d: %s rejected the promotion; it is %s in term %d", term, server, s.Role, s.Term)
	}
	return s, nil
}

// followAll tells all other servers to follow the primary.
func (p *Promoter) followAll(ctx context.Context, term uint64, primary string) {
	now := p.cfg.Clock.Now()
	for _, server := range p.group.Servers {
		if server.Name != primary {
			p.follow(ctx, server.Name, term, primary, now)
		}
	}
}

// follow tells one server to follow the primary of the term.
func (p *Promoter) follow(ctx context.Context, server string, term uint64, primary string, now time.Time) {
	p.lastRepair[server] = now
	leader, _ := p.group.Server(primary)
	p.startCommand(ctx, server, func(ctx context.Context, c Commander) {
		s, err := c.Follow(ctx, term, primary, leader.Address)
		if err == nil && s.Term == term && s.Role == tracker.RoleReplica {
			p.record("following", term, "server", server, "primary", primary)
		}
	})
}

// awaitEstablished waits until the first record of the primary's term is
// confirmed.
func (p *Promoter) awaitEstablished(ctx context.Context, primary tracker.Status) error {
	ctx, cancel := context.WithTimeout(ctx, establishTimeout)
	defer cancel()
	first := primary.Log
	if n := len(primary.Lineage); n > 0 {
		first.Offset = primary.Lineage[n-1].Start + 1
	}
	proof, err := p.cfg.Tracker.Await(ctx, first, false, time.Time{})
	if err != nil {
		return err
	}
	if proof.Superseded {
		return fmt.Errorf("superseded by term %d", proof.Position.Term)
	}
	return nil
}

// repair sends a follow command to each server that is fenced, or leads or
// follows in an old term, so that it follows the server that leads the highest
// term. That server was promoted after a majority was fenced, so it may be
// followed before its term is established. A replica of that term whose log does
// not advance gets the command again, because it may have lost its replication
// connection or have a wrong address.
func (p *Promoter) repair(ctx context.Context, s tracker.State, now time.Time) {
	term := s.HighestTerm()
	leader, ok := s.Leader(term)
	if !ok || !leader.Reachable() {
		return
	}
	for _, o := range s.Servers {
		if o.Server == leader.Server || !o.Reachable() {
			continue
		}
		interval := repairInterval
		if o.Status.Term == term && o.Status.Role == tracker.RoleReplica {
			if !p.detector.stall.isStuck(o.Server, now) {
				continue
			}
			interval = stuckRepairInterval
		}
		if now.Sub(p.lastRepair[o.Server]) >= interval {
			p.follow(ctx, o.Server, term, leader.Server, now)
		}
	}
}

// record adds an event to the recorder's timeline.
func (p *Promoter) record(step string, term uint64, fields ...any) {
	p.cfg.Recorder.Record("promoter", step, p.group.Name, append([]any{"term", term}, fields...)...)
}

func serverNames(statuses []tracker.Status) string {
	names := ""
	for i, s := range statuses {
		if i > 0 {
			names += ","
		}
		names += s.Server
	}
	return names
}
