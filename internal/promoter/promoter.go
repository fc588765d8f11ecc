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
	// checkInterval is small against the failure detection limits.
	checkInterval = 20 * time.Millisecond
	// commandTimeout bounds one command to one server.
	commandTimeout = 300 * time.Millisecond
	// fenceGrace is the time that servers outside the fenced majority have to
	// answer, so that they can be chosen and told to follow at once.
	fenceGrace = 20 * time.Millisecond
	// establishTimeout bounds the wait for the first record of a term.
	establishTimeout = time.Second
	// repairInterval is longer than commandTimeout, so that repairs of one
	// server never overlap.
	repairInterval = 350 * time.Millisecond
	// stuckRepairInterval is the time between commands to a replica that follows
	// the leader but does not advance.
	stuckRepairInterval = 2 * time.Second

	backoffMin    = 50 * time.Millisecond
	backoffJitter = 150 * time.Millisecond
)

// Config configures a [Promoter].
type Config struct {
	// Instance is the name of this entry instance.
	Instance string
	Tracker  *tracker.Tracker
	// Commanders has one entry for each server of the tracker's group. Their
	// statuses reach the tracker.
	Commanders map[string]Commander
	// Planner is nil when there are no planned changes.
	Planner  Planner
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
	Log      logrus.FieldLogger
}

// Promoter watches one group and gives it a new primary when it needs one.
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

// pending is a promotion whose term is not established yet.
type pending struct {
	term      uint64
	startedAt time.Time
}

// New starts a promoter.
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

// Done returns a channel that is closed when the promoter has ended.
func (p *Promoter) Done() <-chan struct{} { return p.done }

// Close ends the promoter. A promotion in progress stops after its current
// step.
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

// sleep returns false when ctx ended.
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

// failOver promotes a server after a failure, and backs off when it could not.
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

// firstStatusWait is the wait for the first statuses, a few round trips.
const firstStatusWait = 20 * time.Millisecond

// hasMajorityStatus reports whether a majority of the servers has been heard at least
// once. A monitor that has just taken over must know which planned changes the
// servers call done before its own attempt replaces their names.
func (p *Promoter) hasMajorityStatus(s tracker.State) bool {
	seen := 0
	for _, o := range s.Servers {
		if o.Seen() {
			seen++
		}
	}
	return seen >= p.group.Majority()
}

// constraints limits which server a promotion chooses.
type constraints struct {
	// plan is the planned change that the promotion is for. Its target is
	// chosen among servers with equally complete logs.
	plan Plan
	// excluded is fenced but not counted, so the majority that the promotion
	// rests on consists of other servers.
	excluded string
}

// runAttempt carries out one attempt.
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

// recordEstablished ends the pending promotion when its term is established.
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
// accepted it, but for the excluded one. It returns early once a majority
// accepted and the others had their grace.
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

// startCommand runs f for the named server in the background.
func (p *Promoter) startCommand(ctx context.Context, server string, f func(context.Context, Commander)) {
	p.commands.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		f(ctx, p.cfg.Commanders[server])
	})
}

// choose returns the fenced server that stores the highest log end. Only among
// equal ends do preferences count, and after them what is left to apply.
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

// promoteServer promotes the server.
func (p *Promoter) promoteServer(ctx context.Context, server string, term uint64, id string) (tracker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	s, err := p.cfg.Commanders[server].Promote(ctx, term, id)
	if err != nil {
		return s, fmt.Errorf("term %d: promote %s: %w", term, server, err)
	}
	if s.Role != tracker.RolePrimary || s.Term != term {
		return s, fmt.Errorf("term %d: %s refused to lead; it is %s in term %d", term, server, s.Role, s.Term)
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

// repair tells servers that are fenced, or lead or follow in an old term, to
// follow the server that leads the highest term. That server was promoted
// after a majority was fenced, so it may be followed before its term is
// established. A replica of that term that does not advance is told again,
// because it may have lost its replication connection or have a wrong address.
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

// record adds a step to the timeline.
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
