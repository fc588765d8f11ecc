package dispatcher

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

const (
	// reservationMargin is added to the time that a caller's transaction may
	// rest: its own instance ends it first.
	reservationMargin = time.Second
	// defaultReservation is how long a transaction may rest when the
	// configuration sets no limit.
	defaultReservation = 10 * time.Second
)

// reservation is a link of this instance's on which another instance has a
// transaction open.
type reservation struct {
	backend *backend
	link    *linker.Link
	used    time.Time
	busy    bool
	// leave ends the turn of the statement that runs.
	leave func()
	// discarded is set when the transaction was given up while a statement ran.
	discarded bool
}

// reservations are the open transactions of other instances by their ids.
type reservations struct {
	mu   sync.Mutex
	byID map[string]*reservation
}

// take returns a reservation for one exchange; nil if there is none.
func (r *reservations) take(id string) *reservation {
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
func (r *reservations) put(id string, v *reservation, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.discarded {
		delete(r.byID, id)
		return false
	}
	if r.byID == nil {
		r.byID = map[string]*reservation{}
	}
	v.busy, v.used = false, now
	r.byID[id] = v
	return true
}

func (r *reservations) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// discard gives a transaction up. It returns the reservation unless a statement
// runs on it, which then ends it.
func (r *reservations) discard(id string) *reservation {
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
func (r *reservations) expired(before time.Time) []*reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*reservation
	for id, v := range r.byID {
		if !v.busy && v.used.Before(before) {
			delete(r.byID, id)
			out = append(out, v)
		}
	}
	return out
}

func (r *reservations) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// expireReservations rolls back transactions whose instance has gone.
func (d *Dispatcher) expireReservations() {
	limit := defaultReservation
	if c := d.cfg.Informer.State().Configuration; c != nil && c.IdleInTransaction > 0 {
		limit = c.IdleInTransaction + reservationMargin
	}
	for _, v := range d.reserved.expired(d.cfg.Clock.Now().Add(-limit)) {
		d.cfg.Log.WithField("server", v.backend.id).Info("dispatcher: transaction of another instance rested too long and is rolled back")
		go d.rollBack(v)
	}
}

// rollBack ends the transaction of a reservation and frees its link.
func (d *Dispatcher) rollBack(v *reservation) {
	answers, err := v.link.RunPlain(d.cfg.Clock.Now().Add(abandonTimeout), exchanger.Statement{Kind: exchanger.Rollback})
	v.backend.release(v.link, err == nil && answers[0].State == exchanger.Idle)
}
