package exchanger

import "marigoldhub.example/hub/internal/tracker"

// State is the transaction state of a connection.
type State int

// States of a connection.
const (
	Idle State = iota
	InTransaction
	// FailedTransaction accepts only the end of the transaction.
	FailedTransaction
)

// Code is the outcome of a statement; the zero Code is Success.
type Code int

// Codes of answers. With Busy, Aborted, Behind, ReadOnly, WrongServer and
// TooManyConnections nothing of the request is kept.
const (
	Success Code = iota
	// Busy means that a server or an instance does not take the statement now.
	Busy
	// Aborted means that the transaction was rolled back.
	Aborted
	// Behind means that the server's log does not cover the minimum position.
	Behind
	// ReadOnly means that the server is not a primary and cannot write.
	ReadOnly
	// WrongServer means that another server than the expected one has the address.
	WrongServer
	// TooManyConnections means that no further connection is accepted.
	TooManyConnections
	// UnknownPrepared means that the prepared statement does not exist.
	UnknownPrepared
	// Failed and Timeout mean that the statement was executed and failed, or did
	// not end in time.
	Failed
	Timeout
	// UnknownOutcome means that the request may or may not have taken effect.
	UnknownOutcome
	// UnknownDatabase means that no route has the database name.
	UnknownDatabase
	// TooLarge means that a message or the state of a session exceeds its limit.
	TooLarge
	// Malformed means that the message or statement is not valid.
	Malformed
	// Denied means that the caller is not allowed to do this.
	Denied
	// Unrecognized is a code that the codec does not know.
	Unrecognized
)

var codeNames = [...]string{
	"success", "busy", "aborted", "behind", "read_only", "wrong_server", "too_many_connections", "unknown_prepared",
	"failed", "timeout", "unknown_outcome", "unknown_database", "too_large", "malformed", "denied", "unrecognized",
}

// String returns the name that logs and metrics use.
func (c Code) String() string { return codeNames[c] }

// GuaranteesNoEffect reports whether a caller that gets the code may rely on
// nothing of its request being kept. It is false for UnknownPrepared, although
// the statement was not executed.
func (c Code) GuaranteesNoEffect() bool { return c.IsNotExecuted() && c != UnknownPrepared }

// IsNotExecuted reports whether a server that answers with the code has kept
// nothing of the statement.
func (c Code) IsNotExecuted() bool {
	switch c {
	case Busy, Aborted, Behind, ReadOnly, WrongServer, TooManyConnections, UnknownPrepared:
		return true
	}
	return false
}

// Answer is everything that came back for one statement.
type Answer struct {
	// Rows are the result rows as text.
	Rows []string
	// Signature proves which server ran the statement; "-" when none did.
	Signature string
	Code      Code
	// Text explains an error answer.
	Text string
	// State is the state of the connection after the statement.
	State State
	// Position is the end of the server's log at the answer; zero if unknown.
	Position tracker.Position
	// Report is the server's report, in answers to Status, Pause, Resume and
	// StepDown.
	Report *Report
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == Success }

// ErrorAnswer returns an error answer that an instance gives itself.
func ErrorAnswer(code Code, state State, text string) Answer {
	return Answer{Code: code, State: state, Text: text}
}

// Acknowledgement returns the answer to a statement that an instance handles
// without a server.
func Acknowledgement(state State) Answer { return Answer{Signature: "-", State: state} }
