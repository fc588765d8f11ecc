package overseer

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// reconfigRetryInterval is the interval at which a change of servers is tried again
// that waits for the primary to be established.
const reconfigRetryInterval = 100 * time.Millisecond

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

// reconfigDecision tells what happens to a new server list of a group.
type reconfigDecision int

const (
	// reconfigNow takes the list over.
	reconfigNow reconfigDecision = iota
	// reconfigLater keeps the old list until the primary is established.
	reconfigLater
	// reconfigReject keeps the old list.
	reconfigReject
)

// decideReconfig decides about the new list of a group that a task serves.
func (o *Overseer) decideReconfig(old *task, next tracker.Group) reconfigDecision {
	n := countChanged(old.group.Servers, next.Servers)
	switch {
	case n > maxChangedServers:
		o.rejectReconfig(old, next, n)
		return reconfigReject
	case n > 0 && !old.state.isEstablished():
		return reconfigLater
	}
	return reconfigNow
}

// rejectReconfig reports a refused list once.
func (o *Overseer) rejectReconfig(old *task, next tracker.Group, changed int) {
	if slices.Equal(old.rejected, next.Servers) {
		return
	}
	old.rejected = next.Servers
	o.cfg.Log.WithField("group", next.Name).WithField("changed_servers", changed).
		Error("overseer: new server list is refused, because it changes more than one server at once")
	o.cfg.Recorder.Record("overseer", "group_change_refused", next.Name, "changed_servers", changed)
}
