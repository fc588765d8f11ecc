package dispatcher

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

const (
	// pinnedIdleMargin is added to the time that a caller's transaction may
	// rest: its own instance ends it first.
	pinnedIdleMargin = time.Second
	// defaultPinnedIdleLimit is how long a transaction may rest when the
	// configuration sets no limit.
	defaultPinnedIdleLimit = 10 * time.Second
)

// pinnedConn is a link of this instance's on which another instance has a
// transaction open.
type pinnedConn struct {
	backend  *backend
	conn     *linker.Conn
	lastUsed time.Time
	busy     bool
	// releaseSlot ends the turn of the statement that runs.
	releaseSlot func()
	// discarded is set when the transaction was given up while a statement ran.
	discarded bool
}

// pinnedConns are the open transactions of other instances by their ids.
type pinnedConns struct {
	mu   sync.Mutex
	byID map[string]*pinnedConn
}

// take returns a reservation for one exchange; nil if there is none.
func (r *pinnedConns) take(id string) *pinnedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.byID[id]
	if v == nil || v.busy {
		return nil
	}
	v.busy = true
	return v
}

// put keeps the reservation for the transaction's next statement. It returns
// false if the transaction was given up meanwhile.
func (r *pinnedConns) put(id string, v *pinnedConn, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.discarded {
		delete(r.byID, id)
		return false
	}
	if r.byID == nil {
		r.byID = map[string]*pinnedConn{}
	}
	v.busy, v.lastUsed = false, now
	r.byID[id] = v
	return true
}

func (r *pinnedConns) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// discard gives a transaction up. It returns the reservation unless a statement
// runs on it, which then ends it.
func (r *pinnedConns) discard(id string) *pinnedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.byID[id]
	if v == nil {
		return nil
	}
	if v.busy {
		v.discarded = true
		return nil
	}
	delete(r.byID, id)
	return v
}

// expired removes and returns the reservations that were not used since the time.
func (r *pinnedConns) expired(before time.Time) []*pinnedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*pinnedConn
	for id, v := range r.byID {
		if !v.busy && v.lastUsed.Before(before) {
			delete(r.byID, id)
			out = append(out, v)
		}
	}
	return out
}

func (r *pinnedConns) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// expirePinnedConns rolls back transactions whose instance has gone.
func (d *Dispatcher) expirePinnedConns() {
	limit := defaultPinnedIdleLimit
	if c := d.cfg.Informer.State().Configuration; c != nil && c.IdleInTransaction > 0 {
		limit = c.IdleInTransaction + pinnedIdleMargin
	}
	for _, v := range d.pinned.expired(d.cfg.Clock.Now().Add(-limit)) {
		d.cfg.Log.WithField("server", v.backend.id).Info("dispatcher: transaction of another instance rested too long and is rolled back")
		go d.rollBack(v)
	}
}

// rollBack ends the transaction of a reservation and frees its link.
func (d *Dispatcher) rollBack(v *pinnedConn) {
	answers, err := v.conn.RunPlain(d.cfg.Clock.Now().Add(abandonTimeout), exchanger.Statement{Kind: exchanger.Rollback})
	v.backend.release(v.conn, err == nil && answers[0].State == exchanger.Idle)
}
