package classifier

// Kind is what a statement does.
type Kind int

// The kinds of statements.
const (
	// Empty is a text without a statement.
	Empty Kind = iota
	// Read is a statement that is proved to be read-only.
	Read
	// Write is every statement that may write and has no kind of its own.
	Write
	Begin
	Commit
	Rollback
	// Savepoint covers SAVEPOINT, RELEASE and ROLLBACK TO.
	Savepoint
	// SetSession changes or resets a setting of the session.
	SetSession
	// SetLocal changes a setting of the transaction.
	SetLocal
	// Show reads a setting.
	Show
	// Pinning leaves state in the server connection beyond the transaction.
	Pinning
	// Copy is every form of COPY.
	Copy
	// HubSet is SET of a marigold.* name.
	HubSet
	// HubShow is SHOW of a marigold.* name.
	HubShow
	// Discard is DISCARD ALL.
	Discard
	// Deallocate is DEALLOCATE.
	Deallocate
	// Unsupported is a statement that the proxy cannot carry out, such as
	// PREPARE TRANSACTION or COMMIT AND CHAIN.
	Unsupported
	// Unparsed is a text that PostgreSQL's parser rejects.
	Unparsed
	// TooComplex is a text that is nested too deeply to be analysed.
	TooComplex
)

var kindNames = [...]string{
	"empty", "read", "write", "begin", "commit", "rollback", "savepoint", "set_session", "set_local", "show",
	"pinning", "copy", "hub_set", "hub_show", "discard", "deallocate", "refused", "unparsed", "too_complex",
}

// String returns the name in snake case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// MayWrite reports whether a statement of this kind can change the database.
func (k Kind) MayWrite() bool {
	switch k {
	case Write, Pinning, Unparsed, SetSession:
		return true
	}
	return false
}
