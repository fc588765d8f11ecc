package sampler

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
)

const (
	dutyRuns = 4
	// dutyLimit is far above the aim of 1 s.
	dutyLimit = 10 * time.Second
	dutyPause = 5 * time.Millisecond
)

// measureDuties measures how long a group is without a monitor that answers.
func (s *Sampler) measureDuties(ctx context.Context) error {
	plan := deployer.Council().WithGroups(callerGroup)
	return s.withDeployment(ctx, plan, func(d *deployer.Deployment) error {
		r := &dutyRun{Sampler: s, d: d}
		if err := r.series(ctx, "killed", (*deployer.Entry).Kill, (*deployer.Entry).Restart); err != nil {
			return err
		}
		return r.series(ctx, "frozen", (*deployer.Entry).Suspend, func(e *deployer.Entry) error {
			e.Resume()
			return nil
		})
	})
}

type dutyRun struct {
	*Sampler
	d *deployer.Deployment
}

// series stops the monitor several times and prints when another instance says
// that it is the monitor, and when all others see it.
func (r *dutyRun) series(ctx context.Context, name string, stop func(*deployer.Entry), restore func(*deployer.Entry) error) error {
	var taken, known []float64
	for range dutyRuns {
		victim, err := r.monitor()
		if err != nil {
			return err
		}
		stop(victim)
		first, all, err := r.moved(ctx, victim)
		if err != nil {
			return err
		}
		taken, known = append(taken, milliseconds(first)), append(known, milliseconds(all))
		if err := restore(victim); err != nil {
			return err
		}
		if err := victim.WaitReady(dutyLimit); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	r.distribution("duty_move_ms_"+name, taken)
	r.distribution("duty_known_ms_"+name, known)
	return nil
}

// monitor returns the instance that all others see as the monitor.
func (r *dutyRun) monitor() (*deployer.Entry, error) {
	limit := time.Now().Add(dutyLimit)
	for time.Now().Before(limit) {
		seen := r.views(nil)
		if name := agreed(seen); name != "" {
			for _, e := range r.d.Entries {
				if e.Name == name {
					return e, nil
				}
			}
		}
		time.Sleep(dutyPause)
	}
	return nil, errors.New("the instances do not agree on a monitor")
}

// moved returns the times until the first other instance is the monitor and
// until all others agree on one.
func (r *dutyRun) moved(ctx context.Context, victim *deployer.Entry) (first, all time.Duration, err error) {
	begin := time.Now()
	for time.Since(begin) < dutyLimit {
		seen := r.views(victim)
		now := time.Since(begin)
		for name, monitor := range seen {
			if first == 0 && name == monitor {
				first = now
			}
		}
		if monitor := agreed(seen); first > 0 && monitor != "" && monitor != victim.Name {
			return first, now, nil
		}
		if err := sleep(ctx, dutyPause); err != nil {
			return first, all, err
		}
	}
	return first, all, errors.Errorf("duty of %s did not move within %v", victim.Name, dutyLimit)
}

// views asks all instances but one at the same time who the monitor is.
func (r *dutyRun) views(without *deployer.Entry) map[string]string {
	var mu sync.Mutex
	seen := map[string]string{}
	var tasks sync.WaitGroup
	for _, e := range r.d.Entries {
		if e == without {
			continue
		}
		tasks.Go(func() {
			monitor := ""
			if s, err := e.Status(); err == nil && len(s.Groups) == 1 {
				monitor = s.Groups[0].Monitor
			}
			mu.Lock()
			defer mu.Unlock()
			seen[e.Name] = monitor
		})
	}
	tasks.Wait()
	return seen
}

// agreed returns the monitor that all name, or nothing.
func agreed(seen map[string]string) string {
	result := ""
	for _, monitor := range seen {
		if result != "" && monitor != result {
			return ""
		}
		result = monitor
	}
	return result
}
