package attempter

import (
	"errors"

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
