package informer

import "time"

// DrainEnd returns until when a draining server goes on accepting work, if it does so for the
// limit from the store's acknowledgement on; the zero time if that may be over. It returns
// false while the server is not draining.
func (s Server) DrainEnd(limit time.Duration) (end time.Time, draining bool) {
	if !s.Draining || s.DrainingAfter.IsZero() {
		return time.Time{}, s.Draining
	}
	return s.DrainingAfter.Add(limit), true
}

// minDrainingGain is by how much a time from another instance must be later than the known one
// to replace it. The time that a response takes makes each one a little different.
const minDrainingGain = 20 * time.Millisecond

// ObserveDraining records a time before which the store had not acknowledged that the server
// with this birth is draining, as another instance knows it.
func (n *Informer) ObserveDraining(id string, born int64, after time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	srv, ok := n.servers[id]
	if !ok || srv.Born != born || !srv.Draining || after.Sub(srv.DrainingAfter) < minDrainingGain {
		return
	}
	srv.DrainingAfter = after
	n.servers[id] = srv
	n.publish()
}
