package sampler

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/deployer"
)

const (
	baselineDistribution = "every_instance_watches"
	slowStore            = 50 * time.Millisecond
	outageTime           = time.Second
	// inForceLimit is far above the aim, so that late changes are measured.
	inForceLimit = 15 * time.Second
	pollPause    = 10 * time.Millisecond
)

// Numbers of changes with the store up, slow, and down right after the write.
const (
	changesUp   = 20
	changesSlow = 5
	changesLost = 4
)

func (s *Sampler) measureChanges(ctx context.Context) error {
	return s.measureChangesOf(ctx, "", deployer.Council().WithGroups(callerGroup))
}

func (s *Sampler) measureBaselineChanges(ctx context.Context) error {
	plan := deployer.Council().WithGroups(callerGroup)
	plan.Distribution = baselineDistribution
	return s.measureChangesOf(ctx, "baseline_", plan)
}

func (s *Sampler) measureChangesOf(ctx context.Context, prefix string, plan deployer.Plan) error {
	return s.withDeployment(ctx, plan, func(d *deployer.Deployment) error {
		r := &changeRun{Sampler: s, d: d, prefix: prefix}
		steps := []func(context.Context) error{r.up, r.slow, r.lost, r.reverts}
		for _, step := range steps {
			if err := step(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// changeRun changes the manifest of one installation many times.
type changeRun struct {
	*Sampler
	d      *deployer.Deployment
	prefix string
}

func (r *changeRun) up(ctx context.Context) error {
	return r.series(ctx, "", changesUp)
}

func (r *changeRun) slow(ctx context.Context) error {
	if err := r.d.Platform.SetResponseDelay(slowStore); err != nil {
		return err
	}
	return errors.Join(r.series(ctx, "_store_slow", changesSlow), r.d.Platform.SetResponseDelay(0))
}

// series prints how long changes take from the second signature until the last
// instance has them in force. The end is the instance's own time stamp, so the
// resolution is that of the machine's clock.
func (r *changeRun) series(ctx context.Context, suffix string, n int) error {
	var times []float64
	for range n {
		sent, last, err := r.one(ctx, func(deployer.Stage) {})
		if err != nil {
			return err
		}
		times = append(times, milliseconds(last.Sub(sent)))
	}
	r.distribution(r.prefix+"config_in_force_ms"+suffix, times)
	return nil
}

// lost takes the store down as soon as a change was stored.
func (r *changeRun) lost(ctx context.Context) error {
	var times, after []float64
	for range changesLost {
		var back time.Time
		var outage error
		ended := make(chan struct{})
		sent, last, err := r.one(ctx, func(stage deployer.Stage) {
			if stage != deployer.Accepted {
				return
			}
			outage = r.d.Platform.SetDown(true)
			go func() {
				defer close(ended)
				time.Sleep(outageTime)
				back = time.Now()
				outage = errors.Join(outage, r.d.Platform.SetDown(false))
			}()
		})
		if err != nil {
			return err
		}
		<-ended
		if outage != nil {
			return outage
		}
		times = append(times, milliseconds(last.Sub(sent)))
		after = append(after, max(milliseconds(last.Sub(back)), 0))
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	r.distribution(r.prefix+"config_in_force_ms_store_lost", times)
	r.distribution(r.prefix+"config_in_force_ms_after_outage", after)
	return nil
}

// one changes the manifest and returns when the second signature was sent to
// the store and when the last instance had the change in force.
func (r *changeRun) one(ctx context.Context, reached func(deployer.Stage)) (sent, last time.Time, err error) {
	before, _, err := r.revision(r.d.Entries[0])
	if err != nil {
		return sent, last, err
	}
	if sent, err = r.d.PublishTimed(ctx, nextManifest(r.d), reached); err != nil {
		return sent, last, err
	}
	limit := time.Now().Add(inForceLimit)
	for _, e := range r.d.Entries {
		for {
			revision, since, err := r.revision(e)
			if err != nil {
				return sent, last, err
			}
			if revision > before {
				last = latest(last, since)
				break
			}
			if time.Now().After(limit) {
				return sent, last, errors.Errorf("%s still has revision %d after %v", e.Name, revision, inForceLimit)
			}
			if err := sleep(ctx, pollPause); err != nil {
				return sent, last, err
			}
		}
	}
	return sent, last, nil
}

func (r *changeRun) revision(e *deployer.Entry) (uint64, time.Time, error) {
	status, err := e.Status()
	if err != nil {
		return 0, time.Time{}, err
	}
	for _, p := range status.Parts {
		if p.Part == r.d.Plan.Customer {
			return p.Revision, p.Since, nil
		}
	}
	return 0, time.Time{}, errors.Errorf("%s has no part %s", e.Name, r.d.Plan.Customer)
}

// reverts counts over all instances how often a revision came into force after
// a higher one.
func (r *changeRun) reverts(context.Context) error {
	reverts, seen := 0, 0
	for _, e := range r.d.Entries {
		events, err := e.Timeline()
		if err != nil {
			return err
		}
		highest := uint64(0)
		for _, event := range events {
			if event.Kind != "manifest_in_force" || event.Fields["part"] != r.d.Plan.Customer {
				continue
			}
			revision, err := strconv.ParseUint(event.Fields["revision"], 10, 64)
			if err != nil {
				return err
			}
			if revision <= highest {
				reverts++
			}
			highest = max(highest, revision)
			seen++
		}
	}
	r.number(r.prefix+"config_reverts", float64(reverts))
	r.number(r.prefix+"config_in_force_events", float64(seen))
	return nil
}

// distribution prints percentiles.
func (s *Sampler) distribution(name string, values []float64) {
	slices.Sort(values)
	s.number(name+"_p50", percentile(values, 0.50))
	s.number(name+"_p99", percentile(values, 0.99))
	s.number(name+"_max", values[len(values)-1])
	s.number(name+"_runs", float64(len(values)))
}

// percentile returns the smallest value that is at least as large as the share
// p of the sorted values.
func percentile(sorted []float64, p float64) float64 {
	return sorted[max(int(p*float64(len(sorted))+0.999999)-1, 0)]
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
