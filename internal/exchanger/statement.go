package exchanger

import "marigoldhub.example/hub/internal/tracker"

// Kind says what a statement does.
type Kind int

// Kinds of statements. Reset and the kinds after it are sent by instances only.
const (
	// Invalid is a statement that the codec cannot parse.
	Invalid Kind = iota
	// Begin opens a transaction that may write, BeginReadOnly one that may not.
	Begin
	BeginReadOnly
	Commit
	Rollback
	// Read and Write run one statement, inside a transaction or as one.
	Read
	Write
	// Set changes a session value.
	Set
	// Prepare, Execute and Deallocate define, run and drop a prepared statement.
	Prepare
	Execute
	Deallocate

	// Reset clears the session state of a connection.
	Reset
	// Status asks for the server's [Report].
	Status
	// Pause makes a replica whose term is below Statement.Term stop receiving the
	// log. It acknowledges no further commits, which fences the old primary.
	Pause
	// Resume ends a Pause.
	Resume
	// StepDown makes a primary with a term below Statement.Term a replica.
	StepDown
)

// Statement is one request. Fields that its kind does not use are empty.
type Statement struct {
	// ID is the caller's ID of the request; empty for a statement that the
	// instance issues itself.
	ID   string
	Kind Kind
	// Text is what the caller sent. Reads and writes are passed on unchanged.
	Text string
	// Name is the name of a session value (Set) or of a prepared statement.
	Name string
	// Value is the session value of Set.
	Value string
	// PreparedKind is Read or Write: what a prepared statement does.
	PreparedKind Kind
	// Template is the body of a prepared statement, as the caller sent it.
	Template string
	// Arguments is the rest of an Execute after the name, unchanged.
	Arguments string
	// MinPosition is the log position that the server must have received to run a
	// read or a begin; otherwise it answers Behind. Zero means none.
	MinPosition tracker.Position
	// Term is the term of Pause and StepDown.
	Term uint64
}

// WithMinPosition returns the statement with another minimum position.
func (s Statement) WithMinPosition(p tracker.Position) Statement {
	s.MinPosition = p
	return s
}

// WithName returns the statement with another name of its prepared statement.
func (s Statement) WithName(name string) Statement {
	s.Name = name
	return s
}

// PreparedKey identifies what a prepared statement does, independently of its
// name.
type PreparedKey struct {
	// Kind is Read or Write.
	Kind Kind
	// Template is the body of the statement.
	Template string
}
