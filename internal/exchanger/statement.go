package exchanger

import "marigoldhub.example/hub/internal/tracker"

// Kind says what a statement does.
type Kind int

// Kinds of statements. The last group is sent by instances only.
const (
	Invalid Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate

	Reset
	Status
	Pause
	Resume
	StepDown
)

// Statement is one request. Fields that its kind does not use are empty.
type Statement struct {
	// ID is the caller's identifier of the request; empty for a statement that
	// the instance issues itself.
	ID   string
	Kind Kind
	// Text is what the caller sent. Reads and writes are passed on unchanged.
	Text string
	// Name is a session value (Set) or a prepared statement.
	Name string
	// Value is the session value of Set.
	Value string
	// PreparedKind is Read or Write: what a prepared statement does.
	PreparedKind Kind
	// Template is the body of a prepared statement.
	Template string
	// Arguments is the rest of an Execute after the name, unchanged.
	Arguments string
	// MinPosition makes a server refuse a read or a begin unless its log covers it;
	// zero means none.
	MinPosition tracker.Position
	// Term is the term of Pause and StepDown.
	Term uint64
}

// WithMinPosition returns the statement with a lowest position for the server's log.
func (s Statement) WithMinPosition(p tracker.Position) Statement {
	s.MinPosition = p
	return s
}

// WithName returns the statement with another name of the prepared statement.
func (s Statement) WithName(name string) Statement {
	s.Name = name
	return s
}

// PreparedKey identifies what a prepared statement does, independent of its
// name.
type PreparedKey struct {
	Kind     Kind
	Template string
}
