package attempter

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// leasedLeader returns the primary if it is this server and this instance holds a
// lease on it now. Every answer of such a server carries a confirmed position.
func (t *Attempter) leasedLeader(service string, b *connector.Backend) (attester.Leader, bool) {
	g := t.cfg.Groups.Group(service)
	l, ok := g.Leader()
	return l, ok && l.Server.ID == b.ID && g.HasLease(l)
}

// AwaitPrimary returns the primary and its backend, and waits while none is known or the
// known one is drained, which another one must replace. It returns [ErrUnknownServer] if the
// primary is not listed.
func (t *Attempter) AwaitPrimary(g *attester.Group, deadline time.Time) (attester.Leader, *connector.Backend, error) {
	for {
		changed := g.Changed()
		l, err := g.AwaitLeader(deadline)
		if err != nil {
			return l, nil, err
		}
		b := t.cfg.Backends.Backend(l.Server.ID)
		if b == nil {
			g.Suspect(l.Server.ID, "not listed")
			return l, nil, ErrUnknownServer
		}
		now := t.cfg.Clock.Now()
		if !b.IsDrained(now) {
			return l, b, nil
		}
		// No answer of this server shows that another one leads.
		g.CheckLeader()
		timer := t.cfg.Clock.NewTimer(deadline.Sub(now))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.Chan():
			return l, nil, connector.ErrDrained
		}
	}
}

// RecheckPrimary looks for another primary when the known one did not answer.
func (t *Attempter) RecheckPrimary(g *attester.Group, l attester.Leader) {
	if b := t.cfg.Backends.Backend(l.Server.ID); b == nil {
		g.Suspect(l.Server.ID, "not listed")
		return
	}
	g.CheckLeader()
}

// HandleRefusal reacts to a primary that refused a statement without running it. It
// returns the refusal as an error.
func (t *Attempter) HandleRefusal(g *attester.Group, l attester.Leader, a exchanger.Answer) error {
	if a.Code == exchanger.ReadOnly {
		g.Suspect(l.Server.ID, "refuses writes")
	} else {
		t.cfg.Clock.Sleep(BusyPause)
	}
	return errors.Join(ErrRefused, errors.New(a.Code.String()+" "+a.Text))
}
