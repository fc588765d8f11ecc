package injector

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/loader"
	"marigoldhub.example/hub/internal/tracker"
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

	mu      sync.Mutex
	undo    []func() error
	pending []func()
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

// Primary returns the server that leads the highest term by its own account.
func (s *Scene) Primary() (*deployer.Server, error) {
	var best *deployer.Server
	var term uint64
	for _, server := range s.D.ServersOf(s.Group) {
		state, err := server.State()
		if err == nil && state.Role == string(tracker.RolePrimary) && state.Term > term {
			best, term = server, state.Term
		}
	}
	if best == nil {
		return nil, errors.Errorf("database group %s has no primary", s.Group)
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
	return nil, errors.Errorf("no instance monitors database group %s", s.Group)
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

// WaitRecovered waits until a write through every instance succeeds and all
// servers of the group have the same log.
func (s *Scene) WaitRecovered(ctx context.Context) error {
	for _, e := range s.D.Entries {
		if err := e.WaitReady(recoveryLimit); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(recoveryLimit)
	for {
		err := s.haveSameLogs()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Wrap(err, "not recovered")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// recoveryLimit is the 14 s that the users allow for a change of primary.
const recoveryLimit = 14 * time.Second

func (s *Scene) haveSameLogs() error {
	primary, err := s.Primary()
	if err != nil {
		return err
	}
	want, err := primary.State()
	if err != nil {
		return err
	}
	for _, server := range s.D.ServersOf(s.Group) {
		state, err := server.State()
		if err != nil {
			return err
		}
		if state.Term != want.Term || state.LogTerm != want.LogTerm || state.LogOffset != want.LogOffset {
			return errors.Errorf("%s is at %d/%d in term %d, %s at %d/%d in term %d", server.Name, state.LogTerm, state.LogOffset,
				state.Term, primary.Name, want.LogTerm, want.LogOffset, want.Term)
		}
	}
	return nil
}
