package overseer

import (
	"time"

	"marigoldhub.example/hub/internal/confirmer"
)

const (
	// quorumLossLimit is the time without a quorum after which a monitor
	// declines its role. It is longer than two probe timeouts.
	quorumLossLimit = time.Second
	// declineDuration is the time for which other instances are preferred for
	// the role.
	declineDuration = 30 * time.Second
)

// quorumLoss measures how long a monitor has been without a quorum.
type quorumLoss struct{ since time.Time }

// update records whether the quorum is lost now, and reports whether it has been
// lost for quorumLossLimit.
func (q *quorumLoss) update(lost bool, now time.Time) bool {
	switch {
	case !lost:
		q.since = time.Time{}
	case q.since.IsZero():
		q.since = now
	}
	return lost && now.Sub(q.since) >= quorumLossLimit
}

// declineSelf passes the monitor role to another instance, which may reach the
// servers. When no instance has a quorum, the role moves from one to the next.
func (t *task) declineSelf() {
	t.cfg.Log.WithField("group", t.group.Name).Warn("overseer: fewer than a majority of the servers are reachable; this instance declines to monitor the group")
	t.cfg.Recorder.Record("overseer", "duty_declined", t.group.Name)
	t.state.decline(t.cfg.Clock.Now().Add(declineDuration))
	t.decline(t.self)
}

// decline asks the directory to prefer other members for the monitor role.
func (t *task) decline(instance string) {
	if t.cfg.Decline != nil {
		t.cfg.Decline(confirmer.MonitorRole(t.group.Name), instance, declineDuration)
	}
}
