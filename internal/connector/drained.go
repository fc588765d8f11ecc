package connector

import "time"

// sendTime is the time that new work may take from this instance to the server. A packet that
// is lost is sent again after 200 ms.
const sendTime = 300 * time.Millisecond

// DrainedAt returns until when callers' new work may be sent to a draining server, the zero
// time if that may be over; false while it is not draining.
func (b *Backend) DrainedAt() (at time.Time, draining bool) {
	end, draining := b.Entry().DrainEnd(b.drainLimit)
	if end.IsZero() {
		return end, draining
	}
	return end.Add(-sendTime), draining
}

// IsDrained reports whether a draining server gets no new work of callers any more, even if
// it leads.
func (b *Backend) IsDrained(now time.Time) bool {
	at, draining := b.DrainedAt()
	return draining && !now.Before(at)
}

// refuses reports whether the server gets the request no more because it is drained. The
// statements of the instance itself run as long as the server does.
func (b *Backend) refuses(r Request) bool { return !r.IsOwn && b.IsDrained(b.clock.Now()) }
