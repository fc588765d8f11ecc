package exchanger

import "marigoldhub.example/hub/internal/tracker"

// Kind says what a statement does.
type Kind int

// Kinds of statements. The last group is sent by instances only.
const (
	Invalid Kind = iota
	Begin
	BeginRead
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
	// Target is Read or Write: what a prepared statement does.
	Target Kind
	// Shape is the body of a prepared statement.
	Shape string
	// Arguments is the rest of an Execute after the name, unchanged.
	Arguments string
	// Floor makes a server refuse a read or a begin unless its log covers it;
	// zero means none.
	Floor tracker.Position
	// Term is the term of Pause and StepDown.
	Term uint64
}

// WithFloor returns the statement with a lowest position for the server's log.
func (s Statement) WithFloor(p tracker.Position) Statement {
	s.Floor = p
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
	Target Kind
	Shape  string
}
