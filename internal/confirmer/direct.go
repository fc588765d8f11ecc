package confirmer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// directReadTimeout bounds one read.
	directReadTimeout = 300 * time.Millisecond
	// directReadInterval bounds the load that each instance puts on the servers
	// while a group has no monitor.
	directReadInterval = 2 * time.Millisecond
	// directRetryDelay is longer than directReadInterval, because a failed read
	// may have closed a connection. A random part of the same length is added.
	directRetryDelay = 20 * time.Millisecond
)

// ReadFunc reads the status of one backend server over a connection of this
// instance.
type ReadFunc func(ctx context.Context, group, server string) (tracker.Status, error)

// Direct confirms without a monitor: it reads the statuses of all servers of the
// group. Concurrent requests for a group share the reads.
type Direct struct {
	read  ReadFunc
	clock clockwork.Clock

	mu     sync.Mutex
	groups map[string]*directGroup
}

// directGroup is the state that concurrent requests for one group share.
type directGroup struct {
	tracker *tracker.Tracker
	cancel  context.CancelFunc
	users   int
}

// NewDirect returns a confirmer that reads statuses with the given function.
func NewDirect(read ReadFunc, clock clockwork.Clock) *Direct {
	return &Direct{read: read, clock: clock, groups: make(map[string]*directGroup)}
}

// Confirm confirms a position of the group. It returns an error if ctx ended
// first.
func (d *Direct) Confirm(ctx context.Context, group tracker.Group, req Request) (Result, error) {
	key := keyOf(group)
	g := d.join(key, group)
	defer d.leave(key, g)
	proof, err := g.tracker.Await(ctx, req.Position, req.Fresh, d.clock.Now())
	return ResultOf(proof), err
}

// keyOf identifies a group with its present servers: requests share reads only if their
// majorities are of the same servers.
func keyOf(group tracker.Group) string {
	key := group.Name
	for _, s := range group.Servers {
		key += "\x00" + s.Name
	}
	return key
}

// join returns the shared state of the group, and starts the reads if it is new.
func (d *Direct) join(key string, group tracker.Group) *directGroup {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[key]
	if !ok {
		g = d.open(group)
		d.groups[key] = g
	}
	g.users++
	return g
}

func (d *Direct) open(group tracker.Group) *directGroup {
	ctx, cancel := context.WithCancel(context.Background())
	g := &directGroup{tracker: tracker.New(group), cancel: cancel}
	for _, s := range group.Servers {
		go d.readLoop(ctx, g.tracker, s.Name)
	}
	return g
}

// leave ends the reads of the group after its last concurrent request.
func (d *Direct) leave(key string, g *directGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.users--
	if g.users == 0 {
		g.cancel()
		delete(d.groups, key)
	}
}

// readLoop reads one server's status while an open wait needs it.
func (d *Direct) readLoop(ctx context.Context, t *tracker.Tracker, server string) {
	for ctx.Err() == nil {
		wanted := t.WaitAdded()
		if t.Needs(server) == tracker.NeedNothing {
			select {
			case <-wanted:
			case <-ctx.Done():
			}
			continue
		}
		gap := directReadInterval
		if !d.readOnce(ctx, t, server) {
			gap = directRetryDelay + rand.N(directRetryDelay)
		}
		select {
		case <-d.clock.After(gap):
		case <-ctx.Done():
		}
	}
}

func (d *Direct) readOnce(ctx context.Context, t *tracker.Tracker, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, directReadTimeout)
	defer cancel()
	sentAt := d.clock.Now()
	s, err := d.read(ctx, t.Group().Name, server)
	if err != nil {
		t.ObserveFailure(server, sentAt, false)
		return false
	}
	t.Observe(server, s, sentAt, d.clock.Now())
	return true
}
