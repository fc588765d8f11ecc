package exchanger

import "marigoldhub.example/hub/internal/tracker"

// State is the transaction state of a connection.
type State int

// States of a connection. A failed transaction accepts only its end.
const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Code classifies an error answer; the zero Code is success.
type Code int

// Codes of error answers.
const (
	Success Code = iota
	// Busy, Aborted, Behind, ReadOnly, WrongServer and TooManyConnections
	// promise that nothing of the request is kept.
	Busy
	Aborted
	Behind
	ReadOnly
	WrongServer
	TooManyConnections
	// UnknownPrepared means that the prepared statement does not exist.
	UnknownPrepared
	// Failed and Timeout come after a run.
	Failed
	Timeout
	// UnknownOutcome means that the request may or may not have taken effect.
	UnknownOutcome
	UnknownDatabase
	TooLarge
	Malformed
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

// GuaranteesNoEffect reports whether a caller that gets the code may rely on nothing of
// its attempt being kept.
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

// Answer is what came back for one statement.
type Answer struct {
	Rows []string
	// Signature proves which server ran the statement; "-" when none did.
	Signature string
	Code      Code
	// Text explains an error answer.
	Text  string
	State State
	// Position is the end of the log when the answer was made; zero when unknown.
	Position tracker.Position
	// Report is the parsed row of Status, Pause, Resume and StepDown.
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
