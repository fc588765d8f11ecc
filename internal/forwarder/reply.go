package forwarder

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Failure is the reason why a reply has not all answers.
type Failure int

// The failures. Only after Lost may a statement without an answer have run.
const (
	// None means that all statements were answered.
	None Failure = iota
	// NotGateway means that the instance holds no connections to the server, or
	// is stopping.
	NotGateway
	// Overloaded means that the request would wait too long for a connection.
	Overloaded
	// Silent means that the server has answered no request for a while.
	Silent
	// Stalled means that no replica acknowledges the server's commits.
	Stalled
	// Unreachable means that no connection to the server could be opened.
	Unreachable
	// Refused means that the server refused the connection with Reply.Code.
	Refused
	// NotSent means that the gateway's connection to the server was closed before
	// anything was sent.
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

// String returns the name that is written to logs.
func (f Failure) String() string {
	if f < 0 || f >= failureCount {
		return "unrecognized"
	}
	return failureNames[f]
}

// IsNotRun reports whether the statements have certainly not run. It is false for
// a number that this version does not know, from an instance of a newer version.
func (f Failure) IsNotRun() bool { return f > None && f < Lost }

// Reply is a gateway's answer to a Request.
type Reply struct {
	// Answers are the server's answers in order; after Lost, those that arrived.
	Answers []exchanger.Answer
	// Failure is why answers are missing; None if there are all of them.
	Failure Failure
	// Code is the code with which the server refused the connection, after Refused.
	Code exchanger.Code
	// ExpectedWait is how long the request would have waited, after Overloaded.
	ExpectedWait time.Duration
	// Waited is how long the request waited for a slot and a connection, after None.
	Waited time.Duration
	// Text describes the failure for logs.
	Text string
}
