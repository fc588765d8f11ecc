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
	// transferShare is the share of the link that configurations and lists of servers may take.
	// The rest is for requests and leases.
	transferShare = 0.8
	// maxTransferBacklog is the longest backlog of earlier transfers with which another one
	// begins. With more, all of them would arrive after the time limits of their receivers.
	maxTransferBacklog = 100 * time.Millisecond
)

// transferLimiter limits the configurations and lists of servers that this instance sends to others. A
// configuration of thousands of routes takes a tenth of a second of a link of 10 Mbit/s in its
// compressed form, a list of 870 servers twice that. All instances ask the same few for both after
// a loss of all power.
type transferLimiter struct {
	clock clockwork.Clock
	// rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// sent is when all that was handed out has been sent.
	sent time.Time
}

func newTransferLimiter(linkBytes float64, clock clockwork.Clock) *transferLimiter {
	if linkBytes <= 0 {
		linkBytes = defaultLinkBytes
	}
	return &transferLimiter{clock: clock, rate: linkBytes * transferShare}
}

// duration returns how long records of the size take on the link.
func (l *transferLimiter) duration(size int) time.Duration {
	return time.Duration(float64(size) / l.rate * float64(time.Second))
}

// allow reports whether records of the size may be sent now, and counts them if so.
func (l *transferLimiter) allow(size int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.sent.Sub(now) > maxTransferBacklog {
		return false
	}
	if l.sent.Before(now) {
		l.sent = now
	}
	l.sent = l.sent.Add(l.duration(size))
	return true
}
