package overseer

import (
	"time"

	"marigoldhub.example/hub/internal/confirmer"
)

const (
	// quorumLossLimit is the time without a majority of reachable servers after
	// which a monitor declines its duty. It is above two probe timeouts.
	quorumLossLimit = time.Second
	// declineDuration is how long another instance is preferred.
	declineDuration = 30 * time.Second
)

// quorumLoss is the time for which a monitor has reached no majority.
type quorumLoss struct{ since time.Time }

// update notes whether the monitor is blind now and reports whether it has been
// for blindLimit.
func (q *quorumLoss) update(lost bool, now time.Time) bool {
	switch {
	case !lost:
		q.since = time.Time{}
	case q.since.IsZero():
		q.since = now
	}
	return lost && now.Sub(q.since) >= quorumLossLimit
}

// declineSelf gives the duty to another instance, which may reach the servers.
// When every instance is blind, the duty goes round among them.
func (t *task) declineSelf() {
	t.cfg.Log.WithField("group", t.group.Name).Warn("overseer: no majority of servers is reached, the duty is declined")
	t.cfg.Recorder.Record("overseer", "duty_declined", t.group.Name)
	t.state.decline(t.cfg.Clock.Now().Add(declineDuration))
	t.decline(t.self)
}

func (t *task) decline(instance string) {
	if t.cfg.Decline != nil {
		t.cfg.Decline(confirmer.MonitorRole(t.group.Name), instance, declineDuration)
	}
}
