package pooler

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

// group is the state of one database group.
type group struct {
	pool *Pool
	name string
	// wake makes the grant loop send its next request early.
	wake chan struct{}
	// stop ends the grant loop.
	stop chan struct{}
	// hasGauges is set when the group's servers have gauges. It does not change.
	hasGauges bool

	mu       sync.Mutex
	backends map[string]*backend
	queue    queue
	// closed is set when no more connections are opened.
	closed bool
	// grantSent is when the request of the newest applied grant was sent.
	grantSent time.Time
}

func newGroup(p *Pool, name string) *group {
	return &group{
		pool:     p,
		name:     name,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		backends: make(map[string]*backend),
	}
}

// applyCatalogEntry applies the group's servers in the catalog. The caller holds
// mu.
func (g *group) applyCatalogEntry(entry checker.Group) {
	named := make(map[string]bool, len(entry.Servers))
	for _, s := range entry.Servers {
		named[s.Name] = true
		t := targetOf(entry, s)
		b, ok := g.backends[s.Name]
		if ok && b.target != t {
			// Connections in use to the old target are closed when released.
			g.removeBackend(b)
			ok = false
		}
		if !ok {
			b = &backend{group: g, name: s.Name, target: t, noOpenBefore: g.pool.cfg.Clock.Now().Add(ungrantedDelay)}
			g.backends[s.Name] = b
		}
		b.limit = s.ConnectionLimit
	}
	for name, b := range g.backends {
		if !named[name] {
			g.removeBackend(b)
		}
	}
}

func (g *group) removeBackend(b *backend) {
	b.removed = true
	b.closeSurplusIdle(time.Time{})
	b.unregisterGauges()
	b.refuseAll(&RefusedError{Server: b.name, Reason: ReasonUnknown})
	if g.backends[b.name] == b {
		delete(g.backends, b.name)
	}
}

// refuse removes a waiter from the queue with an error. The caller holds mu.
func (g *group) refuse(w *waiter, err *RefusedError) {
	if !g.queue.remove(w) {
		return
	}
	w.server.refusals++
	w.result <- result{err: err}
}

// enqueue adds a waiter. When the queue is full, the newest waiter of the
// lowest class is refused in favour of a higher class. The caller holds mu.
func (g *group) enqueue(w *waiter) *RefusedError {
	if len(g.queue.waiters) >= QueueLimit {
		last := g.queue.last()
		if last.class >= w.class {
			w.server.refusals++
			return &RefusedError{Server: w.server.name, Reason: ReasonQueueFull}
		}
		g.refuse(last, &RefusedError{Server: last.server.name, Reason: ReasonQueueFull})
	}
	g.queue.push(w)
	return nil
}

func (g *group) wakeGrantLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
