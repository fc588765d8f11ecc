package attempter

import (
	"errors"
	"fmt"

	"marigoldhub.example/hub/internal/exchanger"
)

// ErrUnknownServer means that a server is not listed any more.
var ErrUnknownServer = errors.New("backend server is not listed")

// ErrServerFull is the [ErrRefused] of a server whose own queue is full.
var ErrServerFull = fmt.Errorf("%w: its queue is full", ErrRefused)

// ErrRefused means that a server refused a statement without running it.
var ErrRefused = errors.New("backend server refused the statement")

// ErrNotSent marks attempts whose statements were not sent to a server.
var ErrNotSent = errors.New("statement was not sent")

// CallerLeftAnswer ends a read whose caller has left. It does not promise that nothing ran: a
// gateway may have begun the read when it was withdrawn, and the team pays for it.
var CallerLeftAnswer = exchanger.Answer{Code: exchanger.Failed, Text: "the caller has left"}
