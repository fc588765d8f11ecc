package sqltext

// Kind tells how a statement is executed.
type Kind int

// The kinds of statements.
const (
	// Empty is a statement without tokens.
	Empty Kind = iota
	// Read returns rows and changes nothing.
	Read
	// LockRead is a SELECT with a row lock; it takes the writer and is not
	// logged.
	LockRead
	// Write changes rows.
	Write
	// DDL changes the schema.
	DDL
	// Begin, Commit, Rollback, Savepoint, RollbackTo and Release control
	// transactions.
	Begin
	Commit
	Rollback
	Savepoint
	RollbackTo
	Release
	// Set, SetTransaction, Show, Reset, Discard and Deallocate act on the
	// session.
	Set
	SetTransaction
	Show
	Reset
	Discard
	Deallocate
	// Sleep is SELECT pg_sleep(n).
	Sleep
	// Group calls a function of the marigold_group_ family.
	Group
	// Builtin is SELECT of one session function.
	Builtin
	// Accepted statements have a command tag and no effect.
	Accepted
	// Unsupported statements get SQLSTATE 0A000.
	Unsupported
)

var kinds = map[string]Kind{
	"select": Read, "values": Read, "with": Read, "explain": Read,
	"insert": Write, "update": Write, "delete": Write, "truncate": Write,
	"create": DDL, "drop": DDL, "alter": DDL,
	"begin": Begin, "start": Begin, "commit": Commit, "end": Commit,
	"rollback": Rollback, "abort": Rollback, "savepoint": Savepoint, "release": Release,
	"set": Set, "show": Show, "reset": Reset, "discard": Discard, "deallocate": Deallocate,
	"listen": Accepted, "unlisten": Accepted, "notify": Accepted, "lock": Accepted, "analyze": Accepted,
	"vacuum": Accepted, "comment": Accepted, "grant": Accepted, "revoke": Accepted,
}

// builtins are functions that the session answers itself.
var builtins = map[string]bool{
	"version": true, "current_database": true, "current_schema": true, "pg_backend_pid": true,
	"pg_is_in_recovery": true, "pg_advisory_lock": true, "pg_advisory_unlock": true, "pg_try_advisory_lock": true,
	"pg_advisory_xact_lock": true, "pg_advisory_unlock_all": true,
}
