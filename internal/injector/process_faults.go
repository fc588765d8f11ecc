package injector

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/deployer"
)

var killPrimary = Fault{Name: "kill_primary", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	p.Kill()
	s.onHeal(p.Restart)
	return nil
}}

var killEntry = Fault{Name: "kill_entry", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	return s.killEntry(s.Probe)
}}

var killMonitor = Fault{Name: "kill_monitor", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	m, err := s.Monitor()
	if err != nil {
		return err
	}
	return s.killEntry(m)
}}

func (s *Scene) killEntry(e *deployer.Entry) error {
	e.Kill()
	s.onHeal(e.Restart)
	return nil
}

var freezePrimary = Fault{Name: "freeze_primary", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	s.freeze(p.Process)
	return nil
}}

var freezeEntry = Fault{Name: "freeze_entry", Hold: shortHold, Inject: func(_ context.Context, s *Scene) error {
	s.freeze(s.Probe.Process)
	return nil
}}

// freezeMonitor lasts longer than every lease and grant, so that the monitor
// wakes up with rights that have lapsed.
var freezeMonitor = Fault{Name: "freeze_monitor_past_lease", Hold: longHold, Inject: func(_ context.Context, s *Scene) error {
	m, err := s.Monitor()
	if err != nil {
		return err
	}
	s.freeze(m.Process)
	return nil
}}

func (s *Scene) freeze(p *deployer.Process) {
	p.Suspend()
	s.onHeal(func() error {
		p.Resume()
		return nil
	})
}

// stopLimit is above the drain limit of the installation.
const stopLimit = 30 * time.Second

var stopEntry = Fault{Name: "stop_entry", Hold: shortHold, Planned: true, Inject: func(_ context.Context, s *Scene) error {
	e := s.Probe
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(stopLimit) }()
	s.onHeal(func() error {
		if err := <-stopped; err != nil {
			return err
		}
		return e.Restart()
	})
	return nil
}}
