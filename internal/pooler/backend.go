package pooler

import (
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/checker"
)

// backend is the state of one backend server. Its group's mutex guards it.
type backend struct {
	group  *group
	name   string
	target target
	limit  int

	// idle is a stack: the most recently used connection is last.
	idle []*conn
	// open counts idle, used and opening connections; opening those that are
	// being opened.
	open    int
	opening int
	// closing counts connections that the server has not closed yet. They are
	// not part of open but still occupy places at the server.
	closing int
	// bounded counts the connections in use by bounded-staleness reads.
	bounded int

	granted      int
	grantExpires time.Time
	// heldUntil is the time before which nothing is opened without a grant.
	heldUntil time.Time

	// removed is set when the catalog has no such server any more.
	removed bool
	// leavingSince is zero when the server is not leaving.
	leavingSince time.Time
	// failedAt and backoff delay the next open after a failure.
	retryAt time.Time
	backoff time.Duration
	lastErr error

	opens, openFailures, refusals int64
}

func targetOf(g checker.Group, s checker.Server) target {
	return target{
		address:      s.Address,
		database:     g.Database,
		user:         g.ServerUser,
		passwordFile: g.ServerPasswordFile,
		tls:          g.UsesServerTLS(),
	}
}

// allowance is the number of connections that may be open at now. It is asked
// at every tick of the maintenance loop.
func (b *backend) allowance(now time.Time) int {
	if now.Before(b.grantExpires) {
		return b.granted
	}
	if !b.grantExpires.IsZero() {
		if now.Sub(b.grantExpires) > pauseSign {
			b.heldUntil = now.Add(startHold)
		}
		b.grantExpires = time.Time{}
	}
	if now.Before(b.heldUntil) {
		return 0
	}
	return UngrantedConnections(b.limit)
}

func (b *backend) inUse() int { return b.open - b.opening - len(b.idle) }

func (b *backend) isPrimary() bool {
	v, ok := b.group.pool.cfg.Views.View(b.group.name)
	return ok && v.Primary == b.name
}

// mayServe reports whether a request of the class may have a further
// connection: bounded-staleness reads use at most half of a primary.
func (b *backend) mayServe(class Class, now time.Time) bool {
	if class != BoundedRead || !b.isPrimary() {
		return true
	}
	return b.bounded < max(b.allowance(now)/2, 1)
}

// refusal returns the reason for which no work is accepted, nil when there is
// none.
func (b *backend) refusal(now time.Time) *RefusedError {
	switch {
	case b.removed:
		return &RefusedError{Server: b.name, Reason: ReasonUnknown}
	case b.leavingSince.IsZero():
		return nil
	case b.isPrimary() && now.Sub(b.leavingSince) < primaryLeavingGrace:
		return nil
	}
	return &RefusedError{Server: b.name, Reason: ReasonLeaving}
}

// takeIdle returns an idle connection that the server has not closed. A grant
// that expired unnoticed, as in a paused process, is honoured first.
func (b *backend) takeIdle(now time.Time) *conn {
	b.shrink(now)
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if c.usable() {
			return c
		}
		b.forget(c)
	}
	return nil
}

// forget closes a connection that is neither idle nor in use any more. Its
// place counts until the server has closed it too: otherwise another instance
// could receive the place too early and meet the server's limit.
func (b *backend) forget(c *conn) {
	b.open--
	b.closing++
	go func() {
		c.close()
		b.group.mu.Lock()
		defer b.group.mu.Unlock()
		b.closing--
		b.serve(b.group.pool.cfg.Clock.Now())
	}()
}

// occupied is the number of places that this instance holds at the server.
func (b *backend) occupied() int { return b.open + b.closing }

// shrink closes idle connections above the allowance, least recently used
// first, and all of them when the server takes no work.
func (b *backend) shrink(now time.Time) {
	allowed := b.allowance(now)
	if b.refusal(now) != nil {
		allowed = 0
	}
	for b.open > allowed && len(b.idle) > 0 {
		c := b.idle[0]
		b.idle = b.idle[1:]
		b.forget(c)
	}
}

// serve hands connections to the waiters of this server and opens further ones
// as far as the allowance permits.
func (b *backend) serve(now time.Time) {
	if refused := b.refusal(now); refused != nil {
		b.refuseAll(refused)
		return
	}
	for {
		w := b.group.queue.next(func(w *waiter) bool { return w.server == b && b.mayServe(w.class, now) })
		if w == nil {
			return
		}
		c := b.takeIdle(now)
		if c == nil {
			b.openMore(now)
			return
		}
		b.group.queue.remove(w)
		b.use(c, w.class)
		w.result <- result{conn: c}
	}
}

func (b *backend) use(c *conn, class Class) {
	c.class = class
	if class == BoundedRead {
		b.bounded++
	}
}

// unuse ends the use of a connection.
func (b *backend) unuse(c *conn) {
	if c.class == BoundedRead {
		b.bounded--
	}
	c.class = 0
}

// openMore starts opens for the waiters that no open serves yet.
func (b *backend) openMore(now time.Time) {
	if b.group.closed {
		return
	}
	if now.Before(b.retryAt) {
		if b.open == 0 {
			b.refuseAll(b.openError())
		}
		return
	}
	waiting := b.group.queue.countFor(b)
	for b.opening < min(MaxOpening, waiting) && b.occupied() < b.allowance(now) {
		b.startOpen()
	}
}

func (b *backend) startOpen() {
	b.open++
	b.opening++
	jitter := b.opening > 1
	b.group.pool.tasks.Go(func() { b.group.pool.open(b, jitter) })
}

func (b *backend) openError() *RefusedError {
	var serverErr *ServerError
	if errors.As(b.lastErr, &serverErr) && serverErr.Code == stateTooManyClients {
		return &RefusedError{Server: b.name, Reason: ReasonLimit, Err: b.lastErr}
	}
	return &RefusedError{Server: b.name, Reason: ReasonUnreachable, Err: b.lastErr}
}

func (b *backend) refuseAll(refused *RefusedError) {
	match := func(w *waiter) bool { return w.server == b }
	for w := b.group.queue.next(match); w != nil; w = b.group.queue.next(match) {
		b.group.refuse(w, refused)
	}
}
