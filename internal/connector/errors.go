package connector

import (
	"errors"
	"time"
)

// ErrOverloaded means that a request would wait too long for a connection.
var ErrOverloaded = errors.New("too many requests wait for the backend server")

// Overload is ErrOverloaded with the expected wait.
type Overload struct{ Wait time.Duration }

// Error implements error.
func (o Overload) Error() string { return ErrOverloaded.Error() + ", expected wait " + o.Wait.String() }

// Is makes errors.Is match ErrOverloaded.
func (o Overload) Is(target error) bool { return target == ErrOverloaded }

// ErrStalled means that no replica acknowledges the commits of a primary.
var ErrStalled = errors.New("no replica receives the primary's commits")

// ErrDrained means that the time is over for which a draining server accepts work at least.
var ErrDrained = errors.New("the backend server is draining and may end at any time")

// ErrSilent means that a server has answered no request for a while.
var ErrSilent = errors.New("the backend server does not answer")

// ErrGateway marks failures of a gateway, which say nothing about the backend
// server.
var ErrGateway = errors.New("gateway did not run the statement")

// ErrCallerLeft means that the caller has left and that nobody waits for an answer. It
// matches ErrOverloaded, after which no primary is looked for and nothing is tried again at
// one.
var ErrCallerLeft error = callerLeft{}

type callerLeft struct{}

// Error implements error.
func (callerLeft) Error() string { return "the caller has left" }

// Is makes errors.Is match ErrOverloaded.
func (callerLeft) Is(target error) bool { return target == ErrOverloaded }
