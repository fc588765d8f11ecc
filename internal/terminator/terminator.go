package terminator

import (
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/resolver"
)

// Terminator ends one session. Its methods may be called at any time by any goroutine.
type Terminator struct {
	draining chan struct{} // closed by Drain
	expired  chan struct{} // closed by Expire
	once     struct{ drain, expire sync.Once }
	// idleSince is the Unix time in nanoseconds since when the session has been idle; 0
	// while it is not.
	idleSince atomic.Int64
	revoked   atomic.Bool // set by Revoke
	displaced atomic.Bool // set by Displace
}

// New returns a terminator of a session that is not to end.
func New() *Terminator {
	return &Terminator{draining: make(chan struct{}), expired: make(chan struct{})}
}

// Drain ends the session with 57P01 as soon as it is idle.
func (t *Terminator) Drain() { t.once.drain.Do(func() { close(t.draining) }) }

// Displace ends the session like Drain, in favor of a new connection.
func (t *Terminator) Displace() {
	t.displaced.Store(true)
	t.Drain()
}

// Expire ends the session as soon as no statement is running, even inside a
// transaction, which is then rolled back.
func (t *Terminator) Expire() {
	t.Drain()
	t.once.expire.Do(func() { close(t.expired) })
}

// Revoke ends the session before it runs another request, because the caller may no
// longer use it. An open transaction is rolled back. A request that runs is answered.
func (t *Terminator) Revoke() {
	t.revoked.Store(true)
	t.Expire()
}

// Draining is closed when the session is to end as soon as it is idle.
func (t *Terminator) Draining() <-chan struct{} { return t.draining }

// Expired is closed when the session is to end as soon as nothing is running.
func (t *Terminator) Expired() <-chan struct{} { return t.expired }

// SetIdle records that the session becomes idle, or is no longer.
func (t *Terminator) SetIdle(idle bool) {
	if idle {
		t.idleSince.Store(time.Now().UnixNano())
		return
	}
	t.idleSince.Store(0)
}

// IdleSince returns since when the session has been idle; the zero time if it is not.
func (t *Terminator) IdleSince() time.Time {
	if nanos := t.idleSince.Load(); nanos != 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

const revokedText = "the access of this connection was withdrawn"

// EndError returns the error with which the session ends. A drained session ends only outside
// transactions.
func (t *Terminator) EndError(expired, inTransaction bool) error {
	switch {
	case t.revoked.Load() && inTransaction:
		return Fatal(resolver.CodeInvalidLogin, "transaction was not run: "+revokedText)
	case t.revoked.Load():
		return Fatal(resolver.CodeInvalidLogin, revokedText)
	case expired && inTransaction:
		return Fatal(resolver.CodeNotRun, "transaction was not run: this proxy is shutting down")
	}
	if t.displaced.Load() {
		return Fatal(resolver.CodeShutdown, "this idle session ended in favor of a new connection, connect again")
	}
	return Fatal(resolver.CodeShutdown, "this proxy is shutting down, connect again")
}

// RequestError returns an error for a request that was received and must not run, because
// the session's access was withdrawn meanwhile; nil if the request may run.
func (t *Terminator) RequestError() error {
	if !t.revoked.Load() {
		return nil
	}
	return Fatal(resolver.CodeInvalidLogin, "request was not run: "+revokedText)
}
