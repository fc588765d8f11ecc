package sampler

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	promotionRuns = 2
	promotionTime = 3 * time.Second
)

// promotions prints the processor time of all instances for one promotion.
func (c *callerCost) promotions(ctx context.Context) error {
	sum := 0.0
	for range promotionRuns {
		primary, err := primaryOf(c.d, callerGroup)
		if err != nil {
			return err
		}
		w, err := observe(ctx, c.d, promotionTime, func() error {
			primary.Kill()
			return nil
		})
		if err != nil {
			return err
		}
		sum += (w.processorSum() - c.idleMS) * w.seconds
		if _, err := primaryOf(c.d, callerGroup); err != nil {
			return err
		}
		if err := primary.Restart(); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	c.number("processor_ms_per_promotion", sum/promotionRuns)
	return nil
}

// primaryOf returns the running server that leads the highest term.
func primaryOf(d *deployer.Deployment, group string) (*deployer.Server, error) {
	var best *deployer.Server
	var term uint64
	for _, s := range d.ServersOf(group) {
		state, err := s.State()
		if err == nil && state.Role == string(tracker.RolePrimary) && state.Term > term {
			best, term = s, state.Term
		}
	}
	if best == nil {
		return nil, errors.Errorf("database group %s has no primary", group)
	}
	return best, nil
}
