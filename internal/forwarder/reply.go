package forwarder

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Failure is why a gateway has no or not all answers.
type Failure int

// Failures. Only after Lost may a statement without an answer have run.
const (
	None Failure = iota
	// NotGateway means that the instance holds no connections to the server, or
	// is stopping.
	NotGateway
	// Overloaded means that the request would wait too long for a connection.
	Overloaded
	// Silent means that the server has answered nothing for a while.
	Silent
	// Stalled means that the server's commits are not acknowledged.
	Stalled
	// Unreachable means that no connection to the server could be opened.
	Unreachable
	// Refused means that the server refused the connection with Reply.Code.
	Refused
	// NotSent means that the connection was closed before anything was sent.
	NotSent
	// NoTransaction means that the transaction has ended and is rolled back.
	NoTransaction
	// Lost means that the connection to the server was lost.
	Lost
	failureCount
)

var failureNames = [failureCount]string{
	"none", "not_gateway", "overloaded", "silent", "stalled", "unreachable", "refused", "not_sent", "no_transaction", "lost",
}

// String returns the name that logs use.
func (f Failure) String() string {
	if f < 0 || f >= failureCount {
		return "unrecognized"
	}
	return failureNames[f]
}

// IsNotRun reports whether the statements have certainly not run. A failure that
// only a newer version knows promises nothing.
func (f Failure) IsNotRun() bool { return f > None && f < Lost }

// Reply is a gateway's answer.
type Reply struct {
	// Answers are the server's, in order; after Lost, those that arrived.
	Answers []exchanger.Answer
	Failure Failure
	// Code is the server's refusal of the connection.
	Code exchanger.Code
	// ExpectedWait is how long the request would have waited, after Overloaded.
	ExpectedWait time.Duration
	Text         string
}
