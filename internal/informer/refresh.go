package informer

import (
	"context"
	"time"
)

// refreshTimeout limits one list of Refresh. The store may answer in a quarter of a
// second while it is slow.
const refreshTimeout = 500 * time.Millisecond

// Refresh lists the servers by a linearizable read that begins after the call, and merges
// the list. The view then has every server whose entry was in the store when Refresh was
// called. Concurrent calls share lists.
func (n *Informer) Refresh() error {
	now := n.cfg.Clock.Now()
	// The list of an earlier call may have to end first.
	_, err := n.refreshes.Await(struct{}{}, now, now.Add(2*refreshTimeout), func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(n.ctx, refreshTimeout)
		defer cancel()
		return struct{}{}, n.listServers(ctx, true)
	})
	return err
}
