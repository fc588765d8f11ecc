package acquirer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// cancelTimeout bounds the time for sending a cancel request to the server.
	cancelTimeout = 2 * time.Second
	// checkInterval is how often a wait for a connection checks the caller's connection, and
	// the time from which on it follows the group's view.
	checkInterval = 100 * time.Millisecond
	// starvedWait is how long a session waits for a server connection before callers that do
	// not read their answers give up theirs. It is a quarter of pooler.QueueDeadline.
	starvedWait = 500 * time.Millisecond
)

// Causes that end the wait for a connection.
var (
	errCanceled   = errors.New("canceled while waiting for a connection")
	errPeerClosed = errors.New("caller closed its connection while waiting for a connection")
	errReplaced   = errors.New("primary replaced while waiting for a connection")
)

// Config holds what an [Acquirer] needs.
type Config struct {
	// Group is the name of the database group, Caller that of the caller.
	Group, Caller string
	Shared        *Group
	Views         tracker.ViewSource
	Pool          pooler.Acquirer
	// Check refuses new work that could not be confirmed.
	Check func() *pgproto3.ErrorResponse
	Clock clockwork.Clock
	// PrimaryWait and DrainWait bound a [Wait].
	PrimaryWait, DrainWait time.Duration
	// Conn is the caller's connection, and Disconnected closed when the caller has
	// disconnected. Context ends the waits for connections.
	Conn         net.Conn
	Disconnected <-chan struct{}
	Context      context.Context
	// Waits counts the waits for a primary.
	Waits metrics.Counter
	Log   logrus.FieldLogger
}

// Acquirer acquires server connections for one session. It is used by one goroutine, except
// for Cancel and CancelRunning.
type Acquirer struct {
	cfg Config
	// inFlight is set while the session counts as in flight on the primary.
	inFlight bool
	// taken are the server connections that the session holds.
	taken []*takenConn

	// mu guards running and cancelWait. It is held while a cancel request is
	// sent, until the server has received it.
	mu         sync.Mutex
	running    pooler.Conn // receives cancel requests
	cancelWait func()      // ends the wait for a connection
}

// New returns an acquirer.
func New(cfg Config) *Acquirer { return &Acquirer{cfg: cfg} }

// Close discards the connections that are still held at the end of the session. There are none
// unless it ends by a panic.
func (a *Acquirer) Close() {
	for len(a.taken) > 0 {
		a.taken[0].Discard()
	}
}

// Cancel asks the server to cancel the statement that the session runs, and
// ends a wait for a server connection. Otherwise it does nothing.
func (a *Acquirer) Cancel(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelWait != nil {
		a.cancelWait()
	}
	if a.running == nil {
		return nil
	}
	return a.running.Cancel(ctx)
}

// CancelRunning cancels what the session runs, if anything, for a caller that has
// disconnected.
func (a *Acquirer) CancelRunning() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.Cancel(ctx)
}

// SetRunning sets the server connection that cancel requests are for; nil means none. It waits
// for a cancel request in progress.
func (a *Acquirer) SetRunning(c pooler.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = c
}

// IsRunning reports whether a server connection receives cancel requests.
func (a *Acquirer) IsRunning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running != nil
}

func (a *Acquirer) setCancelWait(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelWait = f
}

// AcquireAdmitted returns a connection to the primary for an operation while its token of the quota
// is valid, which confirm makes sure of. The token is confirmed before the wait for a
// connection, too, so that none is kept from others during a wait for a token unless the wait
// for the connection outlasted the token.
func (a *Acquirer) AcquireAdmitted(w *Wait, class pooler.Class, confirm func() *pgproto3.ErrorResponse) (pooler.Conn, *pgproto3.ErrorResponse) {
	if failure := a.BeginUse(w); failure != nil {
		return nil, failure
	}
	if failure := confirm(); failure != nil {
		return nil, failure
	}
	conn, failure := a.AcquirePrimary(w, class)
	if failure != nil {
		return nil, failure
	}
	if failure := confirm(); failure != nil {
		conn.Release()
		return nil, failure
	}
	return conn, nil
}

// AcquirePrimary returns a connection to the primary and counts the session as
// in flight there. An error proves that nothing was sent.
func (a *Acquirer) AcquirePrimary(w *Wait, class pooler.Class) (pooler.Conn, *pgproto3.ErrorResponse) {
	for {
		if failure := a.BeginUse(w); failure != nil {
			return nil, failure
		}
		if failure := a.cfg.Check(); failure != nil {
			a.EndUse()
			return nil, failure
		}
		changed := a.cfg.Views.Changed(a.cfg.Group)
		v, _ := a.cfg.Views.View(a.cfg.Group)
		conn, err := a.fromPrimary(v.Primary, class)
		if err == nil {
			return conn, nil
		}
		a.EndUse()
		if failure := a.failure(err, w); failure != nil {
			return nil, failure
		}
		// The server is unreachable, leaving or replaced: wait for a new view.
		a.waitForChange(changed, retryDelay)
	}
}

// AcquireReplica returns a connection to a replica for a read that may run elsewhere.
func (a *Acquirer) AcquireReplica(server string, limit time.Duration) (pooler.Conn, error) {
	return a.acquire(a.cfg.Context, server, pooler.BoundedRead, limit)
}

// failure returns the error for the caller, or nil if another primary is
// worth waiting for.
func (a *Acquirer) failure(err error, w *Wait) *pgproto3.ErrorResponse {
	if a.isDisconnected() || errors.Is(err, errPeerClosed) {
		return resolver.NotRunError("caller has disconnected")
	}
	if errors.Is(err, errReplaced) && !w.IsExpired() {
		return nil
	}
	if errors.Is(err, errCanceled) {
		return resolver.Error(resolver.CodeCanceled, "canceling statement due to user request", "")
	}
	var refused *pooler.RefusedError
	if !errors.As(err, &refused) {
		return resolver.NotRunError("no connection to the primary")
	}
	switch refused.Reason {
	case pooler.ReasonUnreachable, pooler.ReasonLeaving, pooler.ReasonUnknown:
		if !w.IsExpired() {
			return nil
		}
	}
	return resolver.NotRunError("no connection to backend server " + refused.Server + ": " + string(refused.Reason))
}

// fromPrimary waits for a connection to the primary. The wait ends when
// another server becomes the primary.
func (a *Acquirer) fromPrimary(server string, class pooler.Class) (pooler.Conn, error) {
	ctx, interrupt := context.WithCancelCause(a.cfg.Context)
	defer interrupt(nil)
	watch := time.AfterFunc(checkInterval, func() { a.interruptOnReplacement(ctx, server, interrupt) })
	defer watch.Stop()
	return a.acquire(ctx, server, class, a.cfg.PrimaryWait)
}

// interruptOnReplacement interrupts the wait when another server becomes the
// primary.
func (a *Acquirer) interruptOnReplacement(ctx context.Context, server string, interrupt context.CancelCauseFunc) {
	defer guarder.Recover(a.cfg.Log, "watch of the primary")
	for {
		changed := a.cfg.Views.Changed(a.cfg.Group)
		v, ok := a.cfg.Views.View(a.cfg.Group)
		if ok && v.Term > 0 && v.Primary != "" && v.Primary != server {
			interrupt(errReplaced)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// acquire waits for a server connection. A cancel request of the caller ends
// the wait too.
func (a *Acquirer) acquire(ctx context.Context, server string, class pooler.Class, limit time.Duration) (pooler.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	a.setCancelWait(func() { interrupt(errCanceled) })
	stop := a.watchPeer(interrupt)
	defer stop()
	starved := time.AfterFunc(starvedWait, func() { a.cfg.Shared.starved.Add(1) })
	defer func() { // also after a panic
		if !starved.Stop() {
			a.cfg.Shared.starved.Add(-1)
		}
		a.setCancelWait(nil)
	}()
	conn, err := a.cfg.Pool.Acquire(ctx, pooler.Request{Group: a.cfg.Group, Server: server, Class: class, Caller: a.cfg.Caller})
	if err == nil {
		return a.take(conn), nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errCanceled) || errors.Is(cause, errReplaced) || errors.Is(cause, errPeerClosed) {
		return nil, cause
	}
	return nil, err
}
