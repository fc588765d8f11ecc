package overseer

import (
	"slices"

	"marigoldhub.example/hub/internal/promoter"
	"marigoldhub.example/hub/internal/tracker"
)

const reasonLeaving = "primary_leaving"

// planner implements [promoter.Planner] for one group.
type planner struct {
	task *task
}

// Next returns the first declared switchover that has not taken effect and
// whose target is reachable, or else a change away from a leaving primary.
func (p planner) Next(s tracker.State) (promoter.Plan, bool) {
	t := p.task
	p.recordCompleted(s)
	for _, w := range t.cfg.Catalog.Catalog().Switchovers(t.group.Name) {
		if !t.state.isCompleted(w.ID) && s.Server(w.To).Reachable() {
			return promoter.Plan{ID: w.ID, To: w.To, Reason: "requested"}, true
		}
	}
	if !p.IsAvoided(s.Primary) {
		return promoter.Plan{}, false
	}
	to := p.successor(s)
	return promoter.Plan{To: to, Reason: reasonLeaving}, to != ""
}

// recordCompleted marks the declared switchovers as completed that took effect
// according to the servers.
func (p planner) recordCompleted(s tracker.State) {
	done := promoter.CompletedChanges(s)
	if len(done) == 0 {
		return
	}
	for id := range declaredSwitchovers(p.task.cfg.Catalog.Catalog(), p.task.group.Name) {
		if slices.Contains(done, id) && !p.task.state.isCompleted(id) {
			p.task.state.complete(id)
		}
	}
}

// CompletedIDs implements [promoter.Planner].
func (p planner) CompletedIDs(s tracker.State) []string {
	p.recordCompleted(s)
	return p.task.state.completedIDs()
}

// successor returns the replica, among those that are reachable and not leaving,
// that has applied the most of its log. It returns the empty string if there is
// none.
func (p planner) successor(s tracker.State) string {
	var best tracker.Observation
	for _, o := range s.Servers {
		if o.Server == s.Primary || !o.Reachable() || p.IsAvoided(o.Server) || o.Status.Role != tracker.RoleReplica {
			continue
		}
		if best.Server == "" || o.Status.Applied.Compare(best.Status.Applied) > 0 {
			best = o
		}
	}
	return best.Server
}

// PauseWork implements [promoter.Planner].
func (p planner) PauseWork(term uint64) { p.task.state.startPause(term, p.task.cfg.Clock.Now()) }

// ResumeWork implements [promoter.Planner].
func (p planner) ResumeWork() { p.task.state.endPause(p.task.cfg.Clock.Now()) }

// IsIdle implements [promoter.Planner]. It requires a report from every live
// member, because any of them may have work in flight.
func (p planner) IsIdle() bool {
	t := p.task
	if t.cfg.InFlight != nil && t.cfg.InFlight.InFlight(t.group.Name) > 0 {
		return false
	}
	var others []string
	for _, m := range t.cfg.Directory.Members() {
		if m.Instance != t.self {
			others = append(others, m.Instance)
		}
	}
	return t.state.isIdle(others)
}

// Complete implements [promoter.Planner].
func (p planner) Complete(plan promoter.Plan) { p.task.state.complete(plan.ID) }

// IsAvoided implements [promoter.Planner]. A server is leaving if a drain, the
// platform's list or the server itself says so.
func (p planner) IsAvoided(server string) bool {
	t := p.task
	if t.isMarkedLeaving(server) {
		return true
	}
	tr, ok := t.state.getTracker()
	return ok && tr.State().Server(server).Status.Leaving
}
