package overseer

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// regroupRetry is the interval at which a change of servers is tried again
// that waits for the primary to be established.
const regroupRetry = 100 * time.Millisecond

// maxChangedServers is the number of servers by which a new list may differ
// from the one in use. With more, majorities of the two lists need not share a
// server.
const maxChangedServers = 1

// countChanged returns the number of servers that were added, moved to another
// address or replaced, or that were removed, whichever is larger. A server
// that takes the place of a removed one is one change.
func countChanged(old, next []tracker.Server) int {
	added, removed := 0, 0
	for _, s := range next {
		if !hasServer(old, s) {
			added++
		}
	}
	for _, s := range old {
		if !hasServer(next, s) {
			removed++
		}
	}
	return max(added, removed)
}

func hasServer(servers []tracker.Server, want tracker.Server) bool {
	return slices.ContainsFunc(servers, func(s tracker.Server) bool {
		return s.Name == want.Name && s.Address == want.Address
	})
}

// verdict tells what happens to a new server list of a group.
type verdict int

const (
	// regroupNow takes the list over.
	regroupNow verdict = iota
	// regroupLater keeps the old list until the primary is established.
	regroupLater
	// regroupNever keeps the old list.
	regroupNever
)

// judge decides about the new list of a group that a task serves.
func (o *Overseer) judge(old *task, next tracker.Group) verdict {
	n := countChanged(old.group.Servers, next.Servers)
	switch {
	case n > maxChangedServers:
		o.refuse(old, next, n)
		return regroupNever
	case n > 0 && !old.board.isEstablished():
		return regroupLater
	}
	return regroupNow
}

// refuse reports a refused list once.
func (o *Overseer) refuse(old *task, next tracker.Group, changed int) {
	if slices.Equal(old.refused, next.Servers) {
		return
	}
	old.refused = next.Servers
	o.cfg.Log.WithField("group", next.Name).WithField("changed_servers", changed).
		Error("overseer: new server list is refused, because it changes more than one server at once")
	o.cfg.Recorder.Record("overseer", "group_change_refused", next.Name, "changed_servers", changed)
}
