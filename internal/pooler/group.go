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
	// demand wakes the grant loop.
	demand chan struct{}
	// stop ends the grant loop.
	stop chan struct{}
	// reported is set when the servers have gauges. It does not change.
	reported bool

	mu       sync.Mutex
	backends map[string]*backend
	queue    queue
	// closed ends the opening of connections.
	closed bool
	// grantSent is the sending time of the newest accepted grant.
	grantSent time.Time
}

func newGroup(p *Pool, name string) *group {
	return &group{
		pool:     p,
		name:     name,
		demand:   make(chan struct{}, 1),
		stop:     make(chan struct{}),
		backends: make(map[string]*backend),
	}
}

// apply takes the group's servers from the catalog. The caller holds mu.
func (g *group) apply(entry checker.Group) {
	named := make(map[string]bool, len(entry.Servers))
	for _, s := range entry.Servers {
		named[s.Name] = true
		t := targetOf(entry, s)
		b, ok := g.backends[s.Name]
		if ok && b.target != t {
			// Connections to the old target end with their transactions.
			g.removeBackend(b)
			ok = false
		}
		if !ok {
			b = &backend{group: g, name: s.Name, target: t, heldUntil: g.pool.cfg.Clock.Now().Add(startHold)}
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
	b.shrink(time.Time{})
	b.forgetGauges()
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
// lowest class gives way to a higher class. The caller holds mu.
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

func (g *group) wakeGrants() {
	select {
	case g.demand <- struct{}{}:
	default:
	}
}
