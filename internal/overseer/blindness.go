package overseer

import (
	"time"

	"marigoldhub.example/hub/internal/confirmer"
)

const (
	// blindLimit is the time without a majority of reachable servers after
	// which a monitor declines its duty. It is above two probe timeouts.
	blindLimit = time.Second
	// declineTime is how long another instance is preferred.
	declineTime = 30 * time.Second
)

// blindness is the time for which a monitor has reached no majority.
type blindness struct{ since time.Time }

// lasts notes whether the monitor is blind now and reports whether it has been
// for blindLimit.
func (b *blindness) lasts(blind bool, now time.Time) bool {
	switch {
	case !blind:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	}
	return blind && now.Sub(b.since) >= blindLimit
}

// declineSelf gives the duty to another instance, which may reach the servers.
// When every instance is blind, the duty goes round among them.
func (t *task) declineSelf() {
	t.cfg.Log.WithField("group", t.group.Name).Warn("overseer: no majority of servers is reached, the duty is declined")
	t.cfg.Recorder.Record("overseer", "duty_declined", t.group.Name)
	t.board.decline(t.cfg.Clock.Now().Add(declineTime))
	t.decline(t.self)
}

func (t *task) decline(instance string) {
	if t.cfg.Decline != nil {
		t.cfg.Decline(confirmer.DutyName(t.group.Name), instance, declineTime)
	}
}
