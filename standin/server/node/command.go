package node

import (
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/logstore"
)

// Fence takes a term for a promoter if the term is greater than the node's
// own, or equal to it with the same promoter. The row tells which term and
// promoter hold.
func (n *Node) Fence(term uint64, promoter string) (tracker.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	// A repeated fence of the same term by the same promoter changes nothing:
	// the server may lead or follow in that term already.
	if term > n.meta.Term {
		err = n.fenceLocked(term, promoter)
	}
	return n.statusLocked(), err
}

func (n *Node) fenceLocked(term uint64, promoter string) error {
	n.meta.Term, n.meta.Promoter = term, promoter
	n.meta.Role, n.meta.Follow = tracker.RoleFenced, ""
	return n.newEpoch()
}

// newEpoch ends all work of the current epoch and saves the new state. The
// caller holds mu and has changed meta.
func (n *Node) newEpoch() error {
	n.epoch++
	n.stopFollowing()
	n.stopFollowing = func() {}
	n.closeFeeds()
	if n.open != nil {
		n.open.kill()
		n.open = nil
	}
	n.signal()
	n.logState()
	return n.meta.Save(n.cfg.Dir)
}

func (n *Node) logState() {
	n.cfg.Log.WithFields(map[string]any{
		"term": n.meta.Term, "role": n.meta.Role, "promoter": n.meta.Promoter, "log_end": n.log.End().String(),
	}).Info("server: state changed")
}

// Promote makes the node primary if its term and promoter equal the given
// ones. It applies all stored records, and then appends the record that starts
// the term. Records applied by an attempt that is given up stay applied.
func (n *Node) Promote(term uint64, promoter string) (tracker.Status, error) {
	for {
		if err := n.applyAll(term, promoter); err != nil {
			return n.Status(), err
		}
		if st, done, err := n.lead(term, promoter); done {
			return st, err
		}
	}
}

// mayLead reports whether a promotion is accepted. The caller holds mu.
func (n *Node) mayLead(term uint64, promoter string) bool {
	return term == n.meta.Term && promoter == n.meta.Promoter && n.meta.Role != tracker.RolePrimary
}

// lead makes the node primary, and reports false when a record was stored that
// is not applied.
func (n *Node) lead(term uint64, promoter string) (tracker.Status, bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.mayLead(term, promoter) {
		return n.statusLocked(), true, nil
	}
	if n.applied < n.log.End().Offset {
		return tracker.Status{}, false, nil
	}
	n.meta.Role, n.meta.Follow = tracker.RolePrimary, ""
	err := n.newEpoch()
	if err == nil {
		err = n.append(newRecord(n.meta.Term, n.log.End().Offset+1, nil))
	}
	n.signal()
	return n.statusLocked(), true, err
}

// append adds a record whose effects are visible. The caller holds mu.
func (n *Node) append(r logstore.Record) error {
	if err := n.log.Append(r); err != nil {
		return err
	}
	n.applied = r.Offset
	return nil
}

// Follow makes the node a replica of the server at addr if the term is at
// least its own. Replication begins when answered is closed or followGrace is
// over: a truncation closes the connection that carries the answer.
func (n *Node) Follow(term uint64, server, addr string, answered <-chan struct{}) (tracker.Status, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.meta.Term || server == n.cfg.Name {
		return n.statusLocked(), nil
	}
	if known, ok := n.cfg.Peers[server]; ok {
		addr = known
	}
	if term == n.meta.Term && n.meta.Role == tracker.RoleReplica && n.meta.Follow == addr {
		return n.statusLocked(), nil
	}
	if term > n.meta.Term {
		n.meta.Term, n.meta.Promoter = term, ""
	}
	n.meta.Role, n.meta.Follow = tracker.RoleReplica, addr
	err := n.newEpoch()
	n.startFollowing(answered)
	return n.statusLocked(), err
}
