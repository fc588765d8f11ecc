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
	directReadTimeout = 300 * time.Millisecond
	// directReadInterval bounds the load that each instance adds to the servers
	// while a group has no monitor.
	directReadInterval = 2 * time.Millisecond
	// directRetryDelay is longer, because a failed read may have cost a
	// connection.
	directRetryDelay = 20 * time.Millisecond
)

// ReadFunc reads the status of one backend server over a connection of this
// instance.
type ReadFunc func(ctx context.Context, group, server string) (tracker.Status, error)

// Direct confirms without a monitor by reading the statuses of all servers of
// the group. Requests that overlap share the reads.
type Direct struct {
	read  ReadFunc
	clock clockwork.Clock

	mu     sync.Mutex
	groups map[string]*directGroup
}

// directGroup is the shared state of overlapping requests of one group.
type directGroup struct {
	tracker *tracker.Tracker
	cancel  context.CancelFunc
	users   int
}

// NewDirect returns a confirmer that reads with the given function.
func NewDirect(read ReadFunc, clock clockwork.Clock) *Direct {
	return &Direct{read: read, clock: clock, groups: make(map[string]*directGroup)}
}

// Confirm confirms a position of the group.
func (d *Direct) Confirm(ctx context.Context, group tracker.Group, req Request) (Result, error) {
	g := d.join(group)
	defer d.leave(group.Name, g)
	proof, err := g.tracker.Await(ctx, req.Position, req.Fresh, d.clock.Now())
	return ResultOf(proof), err
}

func (d *Direct) join(group tracker.Group) *directGroup {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[group.Name]
	if !ok {
		g = d.open(group)
		d.groups[group.Name] = g
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

func (d *Direct) leave(name string, g *directGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.users--
	if g.users == 0 {
		g.cancel()
		delete(d.groups, name)
	}
}

// readLoop reads one server's status while a waiter needs it.
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
