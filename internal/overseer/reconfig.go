package overseer

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// reconfigRetryInterval is the interval at which a reconfiguration is tried again
// that waits for the primary to be established.
const reconfigRetryInterval = 100 * time.Millisecond

// maxChangedServers is the number of servers by which a new list may differ
// from the one in use. With more, a majority of the old list and one of the new
// list might have no server in common.
const maxChangedServers = 1

// countChanged returns the number of servers that were added or of those that
// were removed, whichever is larger. A server with a new address counts as both,
// so a server that replaces another one is one change.
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

// reconfigDecision is what happens to a new server list of a group.
type reconfigDecision int

const (
	// reconfigNow applies the new list.
	reconfigNow reconfigDecision = iota
	// reconfigLater keeps the old list until the primary is established.
	reconfigLater
	// reconfigReject keeps the old list.
	reconfigReject
)

// decideReconfig decides about a new server list for a group that has a task.
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

// rejectReconfig logs and records a rejected server list, unless the task's last
// rejected list is the same.
func (o *Overseer) rejectReconfig(old *task, next tracker.Group, changed int) {
	if slices.Equal(old.rejected, next.Servers) {
		return
	}
	old.rejected = next.Servers
	o.cfg.Log.WithField("group", next.Name).WithField("changed_servers", changed).
		Error("overseer: rejected the new server list, because it changes more than one server at once")
	o.cfg.Recorder.Record("overseer", "group_change_refused", next.Name, "changed_servers", changed)
}
