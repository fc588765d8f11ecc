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
	// open counts the connections that are idle, in use or being opened; opening
	// counts only the last.
	open    int
	opening int
	// closing counts connections that the server has not closed yet. They are
	// not part of open but still count towards the server's connection limit.
	closing int
	// boundedInUse counts the connections in use by bounded reads.
	boundedInUse int

	granted      int
	grantExpires time.Time
	// noOpenBefore is the time before which nothing is opened without a grant.
	noOpenBefore time.Time

	// removed is set when the server is no longer in the catalog.
	removed bool
	// leavingSince is zero when the server is not leaving.
	leavingSince time.Time
	// retryAt is the earliest time of the next open after a failure, backoff the
	// current delay.
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

// allowance is the number of connections that may be open at now. The
// maintenance loop calls it on every tick, so that a grant whose expiry is
// noticed late is a sign that the process was paused.
func (b *backend) allowance(now time.Time) int {
	if now.Before(b.grantExpires) {
		return b.granted
	}
	if !b.grantExpires.IsZero() {
		if now.Sub(b.grantExpires) > pauseThreshold {
			b.noOpenBefore = now.Add(ungrantedDelay)
		}
		b.grantExpires = time.Time{}
	}
	if now.Before(b.noOpenBefore) {
		return 0
	}
	return UngrantedConnections(b.limit)
}

func (b *backend) inUse() int { return b.open - b.opening - len(b.idle) }

func (b *backend) isPrimary() bool {
	v, ok := b.group.pool.cfg.Views.View(b.group.name)
	return ok && v.Primary == b.name
}

// admits reports whether a request of the class may use one more connection.
// Bounded reads use at most half of a primary's allowance.
func (b *backend) admits(class Class, now time.Time) bool {
	if class != BoundedRead || !b.isPrimary() {
		return true
	}
	return b.boundedInUse < max(b.allowance(now)/2, 1)
}

// refusal returns the reason why the server takes no work, nil when it does.
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

// takeIdle returns an idle connection that the server has not closed. First it
// applies the current allowance, because a grant may have expired unnoticed, for
// example while the process was paused.
func (b *backend) takeIdle(now time.Time) *conn {
	b.closeSurplusIdle(now)
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if c.usable() {
			return c
		}
		b.retire(c)
	}
	return nil
}

// retire closes a connection that is neither idle nor in use any more. It counts
// as closing until the server has closed it too. Otherwise another instance
// could be granted its place too early and exceed the server's limit.
func (b *backend) retire(c *conn) {
	b.open--
	b.closing++
	go func() {
		c.close()
		b.group.mu.Lock()
		defer b.group.mu.Unlock()
		b.closing--
		b.serveWaiters(b.group.pool.cfg.Clock.Now())
	}()
}

// occupied is the number of connections that the server counts for this
// instance.
func (b *backend) occupied() int { return b.open + b.closing }

// closeSurplusIdle closes idle connections above the allowance, least recently
// used first, and all of them when the server takes no work.
func (b *backend) closeSurplusIdle(now time.Time) {
	allowed := b.allowance(now)
	if b.refusal(now) != nil {
		allowed = 0
	}
	for b.open > allowed && len(b.idle) > 0 {
		c := b.idle[0]
		b.idle = b.idle[1:]
		b.retire(c)
	}
}

// serveWaiters hands idle connections to the waiters of this server and opens
// further connections as far as the allowance permits.
func (b *backend) serveWaiters(now time.Time) {
	if refused := b.refusal(now); refused != nil {
		b.refuseAll(refused)
		return
	}
	for {
		w := b.group.queue.next(func(w *waiter) bool { return w.server == b && b.admits(w.class, now) })
		if w == nil {
			return
		}
		c := b.takeIdle(now)
		if c == nil {
			b.openForWaiters(now)
			return
		}
		b.group.queue.remove(w)
		b.markInUse(c, w.class)
		w.result <- result{conn: c}
	}
}

func (b *backend) markInUse(c *conn, class Class) {
	c.class = class
	if class == BoundedRead {
		b.boundedInUse++
	}
}

// markUnused ends the use of a connection.
func (b *backend) markUnused(c *conn) {
	if c.class == BoundedRead {
		b.boundedInUse--
	}
	c.class = 0
}

// openForWaiters starts opening connections for the waiters that have none being
// opened for them yet.
func (b *backend) openForWaiters(now time.Time) {
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
