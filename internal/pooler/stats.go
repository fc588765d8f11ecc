package pooler

import (
	"cmp"
	"slices"
)

// Stats describes the use of one backend server by this instance.
type Stats struct {
	Group  string
	Server string
	// Open counts connections that are idle, in use or being opened. Those that
	// the server has yet to close are not included.
	Open int
	// InUse counts connections that have a holder, Waiting the waiting requests.
	InUse   int
	Waiting int
	// Allowance is the number of connections that may be open now.
	Allowance int
	// Opens, OpenFailures and Refusals count opened connections, failed opens
	// and refused requests since the server was added.
	Opens        int64
	OpenFailures int64
	Refusals     int64
}

// Stats returns the statistics of all servers, sorted by group and server.
func (p *Pool) Stats() []Stats {
	var all []Stats
	now := p.cfg.Clock.Now()
	for _, g := range p.allGroups() {
		g.mu.Lock()
		for _, b := range g.backends {
			all = append(all, Stats{
				Group:        g.name,
				Server:       b.name,
				Open:         b.open,
				InUse:        b.inUse(),
				Waiting:      g.queue.countFor(b),
				Allowance:    b.allowance(now),
				Opens:        b.opens,
				OpenFailures: b.openFailures,
				Refusals:     b.refusals,
			})
		}
		g.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Stats) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Server, b.Server))
	})
	return all
}
