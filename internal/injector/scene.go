package injector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/loader"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server"
)

// Scene is an installation into which faults are injected.
type Scene struct {
	D     *deployer.Deployment
	Group string
	// Probe is the instance that the probing caller uses.
	Probe *deployer.Entry
	// History records what the probing caller was told.
	History *loader.History
	// Seed varies the choices of the run.
	Seed uint64
	// Changes are the manifest changes that the run made.
	Changes Changes
	// isProbeSlow is set when the links of the probe's instance to the servers
	// were slowed. Only the step and the fault use it, one after the other.
	isProbeSlow bool

	mu         sync.Mutex
	undo       []func() error
	pending    []func()
	recovered  []func(ctx context.Context)
	violations []examiner.Violation
}

// afterRecovery adds a check that Recover runs.
func (s *Scene) afterRecovery(check func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovered = append(s.recovered, check)
}

// Recover waits until the installation serves again after Heal and runs the
// checks of the injected faults.
func (s *Scene) Recover(ctx context.Context) error {
	if err := s.WaitServing(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	checks := s.recovered
	s.recovered = nil
	s.mu.Unlock()
	for _, check := range checks {
		check(ctx)
	}
	return nil
}

// Report adds a violation that a fault itself found.
func (s *Scene) Report(rule, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, examiner.Violation{Rule: rule, Detail: detail})
}

// Violations returns what faults reported.
func (s *Scene) Violations() []examiner.Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Changes counts manifest changes.
type Changes struct {
	mu       sync.Mutex
	accepted int
}

// Accept counts a change that was told to be in force.
func (c *Changes) Accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted++
}

// Accepted returns the number of changes that were told to be in force.
func (c *Changes) Accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// onHeal adds what Heal undoes, newest first.
func (s *Scene) onHeal(undo func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undo = append(s.undo, undo)
}

// Heal undoes every injected fault.
func (s *Scene) Heal() error {
	s.mu.Lock()
	undo := s.undo
	s.undo = nil
	s.mu.Unlock()
	var failures []error
	for i := len(undo) - 1; i >= 0; i-- {
		failures = append(failures, undo[i]())
	}
	return errors.Join(append(failures, s.D.Links.Heal())...)
}

// ErrNoTarget means that the scene has nothing that the fault could hit. The
// cell then counts as not run.
var ErrNoTarget = errors.New("nothing to inject the fault into")

// Primary returns the server that leads the highest term by its own account.
func (s *Scene) Primary() (*deployer.Server, error) {
	var best *deployer.Server
	var term uint64
	for _, candidate := range s.D.ServersOf(s.Group) {
		state, err := candidate.State()
		if err == nil && state.Role == string(tracker.RolePrimary) && state.Term > term {
			best, term = candidate, state.Term
		}
	}
	if best == nil {
		return nil, errors.Wrapf(ErrNoTarget, "database group %s has no primary", s.Group)
	}
	return best, nil
}

// Candidate returns the primary. While there is none, it returns the live
// server with the highest log end, which a promotion chooses.
func (s *Scene) Candidate() (*deployer.Server, error) {
	if p, err := s.Primary(); err == nil {
		return p, nil
	}
	var best *deployer.Server
	var end tracker.Position
	for _, server := range s.D.ServersOf(s.Group) {
		state, err := server.State()
		if err != nil {
			continue
		}
		log := tracker.Position{Term: state.LogTerm, Offset: state.LogOffset}
		if best == nil || log.Compare(end) > 0 {
			best, end = server, log
		}
	}
	if best == nil {
		return nil, errors.Errorf("database group %s has no live server", s.Group)
	}
	return best, nil
}

// Monitor returns the instance that monitors the group.
func (s *Scene) Monitor() (*deployer.Entry, error) {
	for _, e := range s.D.Entries {
		if e.IsDone() {
			continue
		}
		status, err := e.Status()
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			if m := s.entry(g.Monitor); g.Group == s.Group && m != nil {
				return m, nil
			}
		}
	}
	return nil, errors.Wrapf(ErrNoTarget, "no instance monitors database group %s", s.Group)
}

func (s *Scene) entry(name string) *deployer.Entry {
	for _, e := range s.D.Entries {
		if e.Name == name && !e.IsDone() {
			return e
		}
	}
	return nil
}

// Caller returns a probing caller that uses the probe's instance only.
func (s *Scene) Caller(id int) *loader.Caller {
	target := loader.Target{
		Addresses: []string{s.Probe.Address}, LocalIP: s.D.ClientIP(), User: deployer.CallerName,
		Password: deployer.CallerPassword, Database: s.Group, ConnectTimeout: 2 * time.Second,
	}
	return loader.NewCaller(id, s.Seed, target, s.History, opTimeout)
}

// opTimeout bounds one operation of a probing caller.
const opTimeout = 15 * time.Second

// later runs do in the background; Wait waits for it.
func (s *Scene) later(do func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, func() { <-done })
}

// Wait waits for the operations of the probing callers.
func (s *Scene) Wait() {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	for _, wait := range pending {
		wait()
	}
}

// WaitServing waits until every instance is ready and all servers of the group
// are in the term of one primary.
func (s *Scene) WaitServing(ctx context.Context) error {
	for _, e := range s.D.Entries {
		if err := e.WaitReady(recoveryLimit); err != nil {
			return err
		}
	}
	return waitUntil(ctx, s.haveSameTerm)
}

// WaitSettled waits until all servers of the group have applied the same log. It is
// called after the load has ended.
func (s *Scene) WaitSettled(ctx context.Context) error { return waitUntil(ctx, s.haveSameLogs) }

func waitUntil(ctx context.Context, check func() error) error {
	deadline := time.Now().Add(recoveryLimit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Wrap(err, "not recovered")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// recoveryLimit is the 14 s that the users allow for a change of primary.
const recoveryLimit = 14 * time.Second

func (s *Scene) haveSameTerm() error {
	return s.compareWithPrimary(func(state, primary server.State) bool { return state.Term == primary.Term })
}

func (s *Scene) haveSameLogs() error {
	return s.compareWithPrimary(func(state, primary server.State) bool {
		return state.Term == primary.Term && state.LogTerm == primary.LogTerm && state.LogOffset == primary.LogOffset &&
			state.Applied == state.LogOffset
	})
}

func (s *Scene) compareWithPrimary(isEqual func(state, primary server.State) bool) error {
	leader, err := s.Primary()
	if err != nil {
		return err
	}
	want, err := leader.State()
	if err != nil {
		return err
	}
	for _, other := range s.D.ServersOf(s.Group) {
		state, err := other.State()
		if err != nil {
			return err
		}
		if !isEqual(state, want) {
			return errors.Errorf("%s is at %d/%d in term %d, %s at %d/%d in term %d", other.Name, state.LogTerm, state.LogOffset,
				state.Term, leader.Name, want.LogTerm, want.LogOffset, want.Term)
		}
	}
	return nil
}
