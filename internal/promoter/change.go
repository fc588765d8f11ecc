package promoter

import (
	"context"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// drainTimeout bounds the time for which a planned change pauses new work
	// before the fence.
	drainTimeout = 150 * time.Millisecond
	// planRetryInterval is the time between attempts of a planned change.
	planRetryInterval = time.Second
	// idlePollInterval is the interval at which the instances' reports of work in
	// flight are checked.
	idlePollInterval = 2 * time.Millisecond
	// maxTargetAge is the highest age of a target's data. With an older target
	// the change would pause work although the target cannot catch up within
	// drainTimeout.
	maxTargetAge = 500 * time.Millisecond
)

// runPlan starts the next planned change if there is one and the group serves.
func (p *Promoter) runPlan(ctx context.Context, s tracker.State, now time.Time) {
	if p.cfg.Planner == nil || now.Before(p.nextPlanAt) || !isServing(s) {
		return
	}
	plan, ok := p.nextPlan(s, now)
	if !ok {
		return
	}
	if plan.To == s.Primary && plan.Reason != reasonOrphanedFence {
		p.cfg.Planner.Complete(plan)
		return
	}
	p.nextPlanAt = now.Add(planRetryInterval)
	if !p.canTakeOver(s, plan.To, now) {
		return
	}
	if err := p.switchOver(ctx, s, plan); err != nil {
		p.record("cancelled", s.Term, "to", plan.To, "error", err)
		p.cfg.Log.WithField("group", p.group.Name).WithError(err).Info("promoter: planned change of primary was cancelled")
		p.nextPlanAt = p.cfg.Clock.Now().Add(planRetryInterval)
	}
}

// nextPlan returns the planner's next change. An orphaned fence comes first: it
// is resolved by promoting the current primary in a later term.
func (p *Promoter) nextPlan(s tracker.State, now time.Time) (Plan, bool) {
	if p.detector.hasOrphanedFence(s, now) {
		return Plan{To: s.Primary, Reason: reasonOrphanedFence}, true
	}
	return p.cfg.Planner.Next(s)
}

// canTakeOver reports whether the server can catch up while new work is paused.
// What counts is the age of the records it has applied, because a promoted
// server applies what it stores before it accepts writes.
func (p *Promoter) canTakeOver(s tracker.State, server string, now time.Time) bool {
	if server == s.Primary {
		return true
	}
	o := s.Server(server)
	if !o.Reachable() || o.Status.Role != tracker.RoleReplica || o.Status.Term != s.Term {
		return false
	}
	r, _ := p.cfg.Tracker.View().Replica(server)
	age, ok := r.Age(now)
	return ok && age <= maxTargetAge
}

// switchOver pauses new work on the primary, waits until nothing is in flight
// and the target has caught up, and promotes the target.
func (p *Promoter) switchOver(ctx context.Context, s tracker.State, plan Plan) error {
	p.record("draining", s.Term, "to", plan.To, "plan", plan.ID, "reason", plan.Reason)
	p.cfg.Planner.PauseWork(s.Term)
	defer p.cfg.Planner.ResumeWork()
	if err := p.awaitHandover(ctx, plan); err != nil {
		return err
	}
	if err := p.runAttempt(ctx, p.cfg.Tracker.State(), constraints{plan: plan}); err != nil {
		return err
	}
	if p.cfg.Tracker.State().Primary == plan.To {
		p.cfg.Planner.Complete(plan)
	}
	return nil
}

// awaitHandover waits until no work is in flight on the primary and the target
// stores the primary's whole log.
func (p *Promoter) awaitHandover(ctx context.Context, plan Plan) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for !p.cfg.Planner.IsIdle() {
		if !p.sleep(ctx, idlePollInterval) {
			return fmt.Errorf("work is still in flight on the primary after %v", drainTimeout)
		}
	}
	proof, err := p.cfg.Tracker.Await(ctx, tracker.Position{}, true, p.cfg.Clock.Now())
	if err != nil {
		return fmt.Errorf("cannot read the position of the primary: %w", err)
	}
	if _, err := p.cfg.Tracker.AwaitServer(ctx, plan.To, proof.Position); err != nil {
		return fmt.Errorf("%s did not catch up with %v: %w", plan.To, proof.Position, err)
	}
	return nil
}
