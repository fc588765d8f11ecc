package executor

import (
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/connector"
)

const (
	// pinnedIdleMargin is added to the configured idle limit of transactions, so that
	// the caller's own instance ends the transaction first.
	pinnedIdleMargin = time.Second
	// shortIdleMargin replaces it while requests wait for a connection: the time in which
	// the last answer reaches the caller's instance and its next statement this one, over
	// a busy link.
	shortIdleMargin = 200 * time.Millisecond
	// defaultPinnedIdleLimit is how long a transaction may be idle when the
	// configuration sets no limit.
	defaultPinnedIdleLimit = 10 * time.Second
)

// pinnedConn is a connection of this instance on which another instance has a
// transaction open.
type pinnedConn struct {
	backend  *connector.Backend
	conn     *connector.OwnConn
	lastUsed time.Time
	// busy is set while a statement runs.
	busy bool
	// releaseSlot frees the slot of the statement that runs.
	releaseSlot func()
	// waited is how long that statement waited for the slot and the connection.
	waited time.Duration
	// discarded is set when the transaction was discarded while a statement ran.
	discarded bool
}

// pinnedConns are the open transactions of other instances by their ids.
type pinnedConns struct {
	mu   sync.Mutex
	byID map[string]*pinnedConn
	// discarded are transactions that were discarded before they were in byID.
	discarded discardedIDs
}

// take returns the transaction's connection for one exchange; nil if there is none,
// if it is busy or if it belongs to another team.
func (ps *pinnedConns) take(id, team string) *pinnedConn {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byID[id]
	if p == nil || p.busy || p.conn.User() != team {
		return nil
	}
	p.busy = true
	return p
}

// put keeps the connection for the transaction's next statement. It returns false if
// the transaction was discarded meanwhile.
func (ps *pinnedConns) put(id string, p *pinnedConn, now time.Time) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p.discarded || ps.discarded.contains(id, now) {
		delete(ps.byID, id)
		return false
	}
	if ps.byID == nil {
		ps.byID = map[string]*pinnedConn{}
	}
	p.busy, p.lastUsed = false, now
	ps.byID[id] = p
	return true
}

func (ps *pinnedConns) remove(id string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	delete(ps.byID, id)
}

// discard removes a transaction and returns its connection. If a statement runs on
// it, discard returns nil, and the end of the statement ends the transaction. One that is not
// open is not kept when its begin ends later.
func (ps *pinnedConns) discard(id string, now time.Time) *pinnedConn {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byID[id]
	if p == nil {
		ps.discarded.add(id, now)
		return nil
	}
	if p.busy {
		p.discarded = true
		return nil
	}
	delete(ps.byID, id)
	return p
}

// expired removes and returns the connections that have been idle for longer than the
// limit of their server, those that have been for longest first.
func (ps *pinnedConns) expired(now time.Time, limit func(*connector.Backend) time.Duration) []*pinnedConn {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []*pinnedConn
	for id, p := range ps.byID {
		if !p.busy && now.Sub(p.lastUsed) > limit(p.backend) {
			delete(ps.byID, id)
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *pinnedConn) int { return a.lastUsed.Compare(b.lastUsed) })
	return out
}

func (ps *pinnedConns) count() int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return len(ps.byID)
}

// pinnedIdleLimit returns how long a transaction of another instance may be idle when the
// configured limit is as given, 0 if there is none. While requests wait for a connection,
// the margin covers only the way of a statement and its answer: the caller's instance would
// have ended the transaction by then, so it has gone.
func pinnedIdleLimit(configured time.Duration, isShort bool) time.Duration {
	switch {
	case configured <= 0:
		return defaultPinnedIdleLimit
	case isShort:
		return configured + shortIdleMargin
	}
	return configured + pinnedIdleMargin
}
