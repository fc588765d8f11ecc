package throttler

import (
	"cmp"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

// rosterRetention is how long an instance stays known that is not listed any more. While the
// store is away for longer than entries live, all of them leave the list, and return one
// after the other when it is back.
const rosterRetention = 10 * time.Second

// roster has the instances that were listed recently.
type roster map[string]rosterEntry

// rosterEntry is an instance and when it was last listed.
type rosterEntry struct {
	placer.Peer
	listed time.Time
}

// observe records the listed instances and returns those that were listed recently, in order
// of their names.
func (r roster) observe(listed []placer.Peer, now time.Time) []placer.Peer {
	for _, p := range listed {
		r[p.Name] = rosterEntry{p, now}
	}
	peers := make([]placer.Peer, 0, len(r))
	for name, e := range r {
		if now.Sub(e.listed) > rosterRetention {
			delete(r, name)
			continue
		}
		peers = append(peers, e.Peer)
	}
	slices.SortFunc(peers, func(a, b placer.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}
