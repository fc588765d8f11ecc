package pooler

import (
	"cmp"
	"slices"
)

// Stats describes the use of one backend server by this instance.
type Stats struct {
	Group  string
	Server string
	// Open counts connections that are idle, in use or being opened, not those
	// that the server has still to close.
	Open    int
	InUse   int
	Waiting int
	// Allowance is the number of connections that may be open now.
	Allowance int
	// Opens, OpenFailures and Refusals count since the start.
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
