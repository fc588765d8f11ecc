package gatekeeper

import (
	"time"

	"marigoldhub.example/hub/internal/budgeter"
)

// minIdle is how long a session must have been idle before it ends in favor of a new
// connection. A caller in the middle of its work sends its next statement one network round
// trip after an answer.
const minIdle = 100 * time.Millisecond

// displaceIdle ends the session that has been idle outside a transaction for longest, so that
// a crowd of idle sessions does not keep callers out. It returns false if there is none. The
// caller holds mu.
func (g *Gatekeeper) displaceIdle(now time.Time) bool {
	var longest *authenticatedConn
	oldest := now.Add(-minIdle)
	for _, c := range g.sessions {
		if since := c.session.IdleSince(); !c.displaced && !since.IsZero() && since.Before(oldest) {
			longest, oldest = c, since
		}
	}
	if longest == nil {
		return false
	}
	longest.displaced = true
	longest.session.Displace()
	g.refuse(budgeter.IdleDisplaced)
	return true
}

// refuse counts a connection that is refused or ends because there are too many.
func (g *Gatekeeper) refuse(reason budgeter.Reason) {
	if g.deps.Budget != nil {
		g.deps.Budget.Refusals().Add(reason)
	}
}
