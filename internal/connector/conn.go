package connector

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

// Conn is a connection to one backend server: one of this instance, or one through
// a gateway.
type Conn interface {
	// Run runs statements in the context and returns their answers.
	Run(deadline time.Time, c linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	// RunNext runs the next statement of an open transaction.
	RunNext(deadline time.Time, u admitter.Urgency, c linker.Context, s exchanger.Statement) ([]exchanger.Answer, error)
	// RunPlain runs statements of the instance itself, which need no context.
	RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	// IsBroken reports whether the connection has failed.
	IsBroken() bool
	// SlotWait returns how long the last statement waited for a slot after it was given to
	// the connection; false if it had its slot before.
	SlotWait() (time.Duration, bool)
	// Release returns the connection. It is reused only if it is idle.
	Release(isIdle bool)
}

// OwnConn is a connection of this instance.
type OwnConn struct {
	*linker.Conn
	backend *Backend
}

// RunNext implements [Conn]. The statement gets a slot at once.
func (c *OwnConn) RunNext(deadline time.Time, u admitter.Urgency, want linker.Context, s exchanger.Statement) ([]exchanger.Answer, error) {
	return c.backend.RunInSlot(u, func() ([]exchanger.Answer, error) { return c.Run(deadline, want, s) })
}

// SlotWait implements [Conn].
func (c *OwnConn) SlotWait() (time.Duration, bool) { return 0, false }

// Release implements [Conn].
func (c *OwnConn) Release(isIdle bool) {
	c.backend.AddInFlight(-1)
	c.backend.Pool.Release(c.Conn, isIdle)
}
