package injector

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

// plannedChange asks for another primary by a manifest.
var plannedChange = Fault{Name: "planned_change", Hold: shortHold, Planned: true, Inject: func(ctx context.Context, s *Scene) error {
	target, err := s.follower()
	if err != nil {
		return err
	}
	m := s.D.Manifest()
	m.Switchovers = []checker.Switchover{{ID: fmt.Sprintf("change-%d", s.Seed), Group: s.Group, To: target}}
	_, err = s.D.Publish(ctx, m)
	var conflict *approver.ConflictError
	if errors.As(err, &conflict) {
		return errors.Wrap(ErrNoTarget, conflict.Error())
	}
	if err != nil {
		return err
	}
	s.Changes.Accept()
	s.afterRecovery(func(ctx context.Context) { s.checkLeads(ctx, target) })
	return nil
}}

// follower returns the name of a running server that does not lead.
func (s *Scene) follower() (string, error) {
	p, err := s.Primary()
	if err != nil {
		return "", err
	}
	for _, server := range s.D.ServersOf(s.Group) {
		if server != p && !server.IsDone() {
			return server.Name, nil
		}
	}
	return "", ErrNoTarget
}

// checkLeads waits until the target leads. A change is cancelled and tried
// again while a transaction is open for too long.
func (s *Scene) checkLeads(ctx context.Context, target string) {
	err := waitUntil(ctx, func() error {
		p, err := s.Primary()
		if err == nil && p.Name != target {
			err = errors.Errorf("the primary is %s, the manifest asked for %s", p.Name, target)
		}
		return err
	})
	if err != nil {
		s.Report("planned_change_happens", err.Error())
	}
}
