package injector

import (
	"context"

	"github.com/go-faster/errors"
)

// blindMonitor cuts the monitor off every backend server, but not off its
// peers, and kills the primary. Another instance must take the duty over and
// promote.
var blindMonitor = Fault{Name: "blind_monitor+kill_primary", Hold: stallHold, Inject: func(ctx context.Context, s *Scene) error {
	m, err := s.Monitor()
	if err != nil {
		return err
	}
	if err := s.D.Links.Cut(m.IP, "sql:*"); err != nil {
		return err
	}
	return killPrimary.Inject(ctx, s)
}, Verify: func(s *Scene) error {
	if _, err := s.Primary(); err != nil {
		return errors.Wrap(err, "no instance promoted while the monitor was cut off")
	}
	return nil
}}

// killReplicas leaves the primary alone: nothing can be confirmed.
var killReplicas = Fault{Name: "kill_replicas", Hold: longHold, Inject: func(_ context.Context, s *Scene) error {
	p, err := s.Primary()
	if err != nil {
		return err
	}
	for _, server := range s.D.ServersOf(s.Group) {
		if server == p || server.IsDone() {
			continue
		}
		server.Kill()
		s.onHeal(server.Restart)
	}
	return nil
}}
