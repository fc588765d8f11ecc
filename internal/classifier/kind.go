package classifier

// Kind is the kind of a statement by its effect.
type Kind int

// The kinds of statements.
const (
	// Empty is the kind of a text without a statement.
	Empty Kind = iota
	// Read is a statement that is certain to be read-only.
	Read
	// Write is a statement that may write and has no kind of its own.
	Write
	// Begin is BEGIN and START TRANSACTION.
	Begin
	// Commit is COMMIT and END.
	Commit
	// Rollback is ROLLBACK and ABORT.
	Rollback
	// Savepoint covers SAVEPOINT, RELEASE and ROLLBACK TO.
	Savepoint
	// SetSession is a statement that changes or resets a setting of the session.
	SetSession
	// SetLocal is a statement that changes a setting of the transaction.
	SetLocal
	// Show is SHOW of a setting that the server knows.
	Show
	// Pinning is a statement that leaves state in the server connection beyond
	// the transaction and is not a SET.
	Pinning
	// Copy is every form of COPY.
	Copy
	// HubSet is SET of a setting of the proxy, whose name starts with
	// "marigold.".
	HubSet
	// HubShow is SHOW of a setting of the proxy.
	HubShow
	// Discard is DISCARD ALL.
	Discard
	// Deallocate is DEALLOCATE.
	Deallocate
	// Unsupported is a statement that the proxy cannot carry out, such as
	// PREPARE TRANSACTION or COMMIT AND CHAIN. Its name is "refused".
	Unsupported
	// Unparsed is a text that PostgreSQL's parser rejects.
	Unparsed
	// TooComplex is a text that cannot be parsed safely because it is nested too
	// deeply or has too long chains of operators.
	TooComplex
)

var kindNames = [...]string{
	"empty", "read", "write", "begin", "commit", "rollback", "savepoint", "set_session", "set_local", "show",
	"pinning", "copy", "hub_set", "hub_show", "discard", "deallocate", "refused", "unparsed", "too_complex",
}

// String returns the name of the kind in snake case.
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
