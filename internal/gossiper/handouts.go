package gossiper

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// defaultLinkBytes is the rate of a link in bytes a second that is assumed if
	// [Config.LinkBytes] is not set: 10 Mbit/s.
	defaultLinkBytes = 10_000_000 / 8
	// handoutShare is the share of the link that configurations and lists may take.
	handoutShare = 0.8
	// maxHandoutBacklog is how long earlier ones may still take on the link when
	// another one is sent. With many at a time each of them arrives too late to be used.
	maxHandoutBacklog = 100 * time.Millisecond
)

// handouts limits the configurations and lists of servers that this instance sends to others. A
// configuration of thousands of routes takes a tenth of a second of a link of 10 Mbit/s in its
// compressed form, a list of 870 servers twice that. All instances ask the same few for both after
// a loss of all power.
type handouts struct {
	clock clockwork.Clock
	// rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// sent is when all that was handed out has been sent.
	sent time.Time
}

func newHandouts(linkBytes float64, clock clockwork.Clock) *handouts {
	if linkBytes <= 0 {
		linkBytes = defaultLinkBytes
	}
	return &handouts{clock: clock, rate: linkBytes * handoutShare}
}

// duration returns how long records of the size take on the link.
func (h *handouts) duration(size int) time.Duration {
	return time.Duration(float64(size) / h.rate * float64(time.Second))
}

// take reports whether records of the size may be sent now, and counts them if so.
func (h *handouts) take(size int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.sent.Sub(now) > maxHandoutBacklog {
		return false
	}
	if h.sent.Before(now) {
		h.sent = now
	}
	h.sent = h.sent.Add(h.duration(size))
	return true
}
