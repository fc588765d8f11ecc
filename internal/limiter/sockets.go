package limiter

import (
	"errors"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/budgeter"
)

// ErrNoSocket means that the process has no socket left for the connection.
var ErrNoSocket = errors.New("no socket is left for the connection")

// Config configures [Sockets].
type Config struct {
	// Max is the number of sockets that the process may have open.
	Max     int
	Clock   clockwork.Clock
	Metrics metrics.Registry
	// Refusals counts the connections for which no socket was left.
	Refusals *budgeter.Refusals
}

// Sockets is the number of sockets that the uses of a process share.
type Sockets struct {
	cfg  Config
	open metrics.Gauge
	peak metrics.Gauge

	mu   sync.Mutex
	uses []*Use
	// listeners are those of all uses, in the order in which their connections are closed.
	listeners []*Listener
	// taken is what all uses have taken, listening sockets included.
	taken int
}

// New returns sockets of which none is taken.
func New(cfg Config) *Sockets {
	metrics.GetOrRegisterGauge("sockets.max", cfg.Metrics).Update(int64(cfg.Max))
	return &Sockets{
		cfg:  cfg,
		open: metrics.GetOrRegisterGauge("sockets.open", cfg.Metrics),
		peak: metrics.GetOrRegisterGauge("sockets.peak", cfg.Metrics),
	}
}

// Use is what the sockets of one kind of connection are for. A nil Use counts and limits
// nothing.
type Use struct {
	sockets *Sockets
	open    metrics.Gauge
	reserve int
	limit   int
	// closedFirst is set by CloseFirst.
	closedFirst bool

	// The sockets' mutex guards taken.
	taken int
}

// NewUse returns a use to which the other uses leave reserve sockets, and which takes at
// most limit; 0 means no limit of its own. The metric of the sockets that it has taken is
// "sockets.open.NAME".
func (s *Sockets) NewUse(name string, reserve, limit int) *Use {
	u := &Use{sockets: s, open: metrics.GetOrRegisterGauge("sockets.open."+name, s.cfg.Metrics), reserve: reserve, limit: limit}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses = append(s.uses, u)
	return u
}

// CloseFirst makes the connections of the use the first that are closed in favor of other
// uses. In favor of its own new ones it closes no others. It must be called before Listen.
func (u *Use) CloseFirst() *Use {
	u.closedFirst = true
	return u
}

// isAtLimit reports whether the use has taken as many sockets as its own limit.
func (u *Use) isAtLimit() bool {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	return u.limit > 0 && u.taken >= u.limit
}

// take takes a socket if one is left for the use.
func (u *Use) take() bool {
	s := u.sockets
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.limit > 0 && u.taken >= u.limit {
		return false
	}
	if u.taken >= u.reserve && s.taken+s.kept(u) >= s.cfg.Max {
		return false
	}
	u.add(1)
	return true
}

// kept returns how many sockets are reserved for uses other than u and not taken yet. The
// caller holds mu.
func (s *Sockets) kept(u *Use) int {
	n := 0
	for _, other := range s.uses {
		if other != u {
			n += max(other.reserve-other.taken, 0)
		}
	}
	return n
}

// add takes n sockets, or gives them back if n is negative. The caller holds mu.
func (u *Use) add(n int) {
	u.taken += n
	u.sockets.taken += n
	u.open.Update(int64(u.taken))
	u.sockets.open.Update(int64(u.sockets.taken))
	if open := int64(u.sockets.taken); open > u.sockets.peak.Value() {
		u.sockets.peak.Update(open)
	}
}

// makeRoom closes a connection that may be closed, of any port; false if there is none.
func (s *Sockets) makeRoom() bool {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	return slices.ContainsFunc(listeners, (*Listener).closeOne)
}

// give gives sockets back.
func (u *Use) give(n int) {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	u.add(-n)
}

// Taken returns how many sockets the use has taken.
func (u *Use) Taken() int {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	return u.taken
}
