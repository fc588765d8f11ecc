package certifier

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// suspectDelay is the time after which an unanswered confirmation makes the
	// group suspect, so that new work is checked before it is sent to the primary.
	// It is longer than a promotion normally takes.
	suspectDelay = time.Second
	// minimumTimeout bounds the confirmation that gives a session its first
	// minimum position. Without one the read goes to the primary.
	minimumTimeout = time.Second
)

// Config holds what a [Certifier] needs.
type Config struct {
	// Group is the name of the database group.
	Group     string
	Confirmer confirmer.Confirmer
	// Wait is the time for which a commit or a strict read waits for its confirmation, and
	// CheckWait that for which new work waits for one while the group is suspect.
	Wait, CheckWait time.Duration
	Log             logrus.FieldLogger
}

// Certifier confirms the answers of one database group. It is shared by the sessions.
type Certifier struct {
	cfg Config
	// suspect is set while confirmations of the group fail or are late.
	suspect atomic.Bool

	mu sync.Mutex
	// highest is the highest position that a primary reported to this instance.
	highest tracker.Position
}

// New returns a certifier.
func New(cfg Config) *Certifier { return &Certifier{cfg: cfg} }

// RecordStatus records the position that a primary reported.
func (c *Certifier) RecordStatus(s tracker.Status) {
	if s.Role != tracker.RolePrimary {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Log.Compare(c.highest) > 0 {
		c.highest = s.Log
	}
}

// KnownPosition returns a position that the primary had reached before the
// call.
func (c *Certifier) KnownPosition() tracker.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest
}

// Confirm confirms a position; the zero position stands for the primary's own at present.
func (c *Certifier) Confirm(pos tracker.Position, fresh bool) (confirmer.Result, error) {
	return c.confirm(c.cfg.Wait, pos, fresh)
}

// confirm is Confirm with a time limit. It records whether the group confirms anything at
// present. It does not end with the caller's connection, because what was sent to a server must
// be finished even if the caller has disconnected.
func (c *Certifier) confirm(limit time.Duration, pos tracker.Position, fresh bool) (confirmer.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	late := time.AfterFunc(suspectDelay, func() { c.suspect.Store(true) })
	defer late.Stop() // after a panic
	res, err := c.cfg.Confirmer.Confirm(ctx, confirmer.Request{Group: c.cfg.Group, Position: pos, Fresh: fresh})
	late.Stop()
	c.suspect.Store(err != nil)
	return res, err
}

// Check refuses new work while the group confirms nothing, for example because all replicas are
// down: the outcome of a commit would remain unknown. While the group is suspect, each request
// asks for a confirmation first.
func (c *Certifier) Check() *pgproto3.ErrorResponse {
	if !c.suspect.Load() {
		return nil
	}
	if _, err := c.confirm(c.cfg.CheckWait, tracker.Position{}, true); err != nil {
		return resolver.NotRunError("no majority of database group " + c.cfg.Group + " confirms writes")
	}
	return nil
}

// Fresh is a fresh confirmation that runs in parallel with a strict
// read. It confirms the current primary's own position, because the position of
// the read is not known yet.
type Fresh struct {
	done chan struct{}
	res  confirmer.Result
	err  error
}

// errEnded is the outcome of a confirmation that ended by a panic.
var errEnded = errors.New("the confirmation ended unexpectedly")

// StartFresh starts a fresh confirmation.
func (c *Certifier) StartFresh() *Fresh {
	f := &Fresh{done: make(chan struct{})}
	go func() {
		defer close(f.done)
		defer guarder.Recover(c.cfg.Log, "confirmation of a read")
		f.err = errEnded
		f.res, f.err = c.Confirm(tracker.Position{}, true)
	}()
	return f
}

// ConfirmRead confirms the position of a strict read. The fresh confirmation
// shows that no later term was established when it began, which was after the
// read was received. If it covers the position, nothing more is needed; a later
// position of the same term needs a confirmation that is not fresh.
func (c *Certifier) ConfirmRead(f *Fresh, pos tracker.Position) (confirmer.Result, error) {
	<-f.done
	if f.err != nil {
		return f.res, f.err
	}
	if f.res.Outcome != confirmer.Confirmed || f.res.Position.Term != pos.Term {
		return c.Confirm(pos, true)
	}
	if f.res.Position.Offset >= pos.Offset {
		return f.res, nil
	}
	return c.Confirm(pos, false)
}
